//! The object API over HTTP.

use async_trait::async_trait;
use jm_http::{Method, Request, StatusCode};
use jm_types::DurationMs;
use snafu::ensure;

use super::{ApiResponse, Failure, HttpPlatform, MAX_WATCH_WAIT_MS};
use crate::{
    Change, Changes, Condition, KeyedObject, Listing, MAX_VALUE_BYTES, Object, ObjectError, ObjectStore,
    ReadError, Version, WatchError, is_valid_key, is_valid_prefix,
    object::{ConflictSnafu, InvalidKeySnafu, InvalidReadKeySnafu, RelistSnafu, TooLargeSnafu},
    wire::{self, CHANGES_PATH, LISTING_PATH, OBJECT_VERSION, OBJECTS_PATH, STORE_VERSION},
};

impl From<Failure> for ObjectError {
    fn from(failure: Failure) -> Self {
        let reason = failure.reason;
        if failure.may_be_applied {
            Self::AnswerLost { reason }
        } else {
            Self::Unavailable { reason }
        }
    }
}

impl From<Failure> for WatchError {
    fn from(failure: Failure) -> Self {
        ReadError::from(failure).into()
    }
}

impl ApiResponse {
    fn version(&self, name: &str) -> Option<Version> {
        self.header(name).map(Version::new)
    }

    fn store_version(&self) -> Result<Version, Failure> {
        self.version(STORE_VERSION).ok_or_else(|| self.unexpected())
    }

    fn records(&self) -> Result<Vec<Change>, Failure> {
        wire::read_records(&self.body).ok_or_else(|| self.unexpected())
    }

    /// Error for a response that does not confirm a change.
    fn change_error(&self) -> ObjectError {
        let failed = self.status() == StatusCode::PreconditionFailed;
        if failed && self.store_version().is_ok() {
            let current = self.version(OBJECT_VERSION);
            return ConflictSnafu { current }.build();
        }
        self.unexpected().into()
    }
}

impl HttpPlatform {
    fn change_request(&self, method: Method, key: &str, condition: Condition) -> Result<Request, Failure> {
        let mut request = self.request(method, &format!("{OBJECTS_PATH}{key}"))?;
        match condition {
            Condition::Any => {}
            Condition::Absent => drop(request.insert_header("if-none-match", "*")),
            Condition::Version(version) => drop(request.insert_header("if-match", version.to_string())),
        }
        Ok(request)
    }
}

#[async_trait]
impl ObjectStore for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, ReadError> {
        ensure!(is_valid_key(key), InvalidReadKeySnafu { key });
        let request = self.request(Method::Get, &format!("{OBJECTS_PATH}{key}"))?;
        let response = self.send(request).await?;
        response.store_version()?;
        match (response.status(), response.version(OBJECT_VERSION)) {
            (StatusCode::NotFound, _) => Ok(None),
            (StatusCode::Ok, Some(version)) => Ok(Some(Object {
                value: response.body,
                version,
            })),
            _ => Err(response.unexpected().into()),
        }
    }

    async fn put(&self, key: &str, value: Vec<u8>, condition: Condition) -> Result<Version, ObjectError> {
        ensure!(is_valid_key(key), InvalidKeySnafu { key });
        let bytes = value.len();
        ensure!(bytes <= MAX_VALUE_BYTES, TooLargeSnafu { bytes });
        let mut request = self.change_request(Method::Put, key, condition)?;
        request.set_body(value);
        let response = self.send(request).await?;
        match (response.status(), response.version(OBJECT_VERSION)) {
            (StatusCode::Ok, Some(version)) => Ok(version),
            _ => Err(response.change_error()),
        }
    }

    async fn delete(&self, key: &str, condition: Condition) -> Result<(), ObjectError> {
        ensure!(is_valid_key(key), InvalidKeySnafu { key });
        let request = self.change_request(Method::Delete, key, condition)?;
        let response = self.send(request).await?;
        match response.status() {
            StatusCode::NoContent => Ok(()),
            _ => Err(response.change_error()),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Listing, ReadError> {
        ensure!(is_valid_prefix(prefix), InvalidReadKeySnafu { key: prefix });
        let mut request = self.request(Method::Get, LISTING_PATH)?;
        request.url_mut().query_pairs_mut().append_pair("prefix", prefix);
        let response = self.send(request).await?;
        if response.status() != StatusCode::Ok {
            return Err(response.unexpected().into());
        }
        let objects = response.records()?.into_iter().filter_map(keyed_object).collect();
        let version = response.store_version()?;
        Ok(Listing { objects, version })
    }

    async fn watch(&self, prefix: &str, after: Version, wait: DurationMs) -> Result<Changes, WatchError> {
        ensure!(is_valid_prefix(prefix), InvalidReadKeySnafu { key: prefix });
        let mut request = self.request(Method::Get, CHANGES_PATH)?;
        let wait_ms = wait.min(MAX_WATCH_WAIT_MS).get();
        request
            .url_mut()
            .query_pairs_mut()
            .append_pair("prefix", prefix)
            .append_pair("after", &after.to_string())
            .append_pair("wait_ms", &wait_ms.to_string());
        let response = self.send_with(&self.watch_client, request).await?;
        let version = response.store_version()?;
        match response.status() {
            StatusCode::Ok => Ok(Changes {
                changes: response.records()?,
                version,
            }),
            StatusCode::Gone => RelistSnafu { current: version }.fail(),
            _ => Err(response.unexpected().into()),
        }
    }
}

fn keyed_object(record: Change) -> Option<KeyedObject> {
    let object = Object {
        value: record.value?,
        version: record.version,
    };
    Some(KeyedObject {
        key: record.key,
        object,
    })
}
