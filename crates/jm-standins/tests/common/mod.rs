//! Helpers shared by the tests of the stand-ins.

use std::{collections::BTreeMap, net::SocketAddr};

use futures::{AsyncBufReadExt, StreamExt};
use jm_http::{Body, Client, Limits, Method, Request, Response, StatusCode, Url};
use jm_standins::{
    Engine, EngineOptions, FinalLine, GenerateRequest, Order, OrderAnswer, OrderKind, Role, TokenLine,
};
use jm_types::{FencingNumber, ModelId, WeightVersion};
use serde::{Serialize, de::DeserializeOwned};

pub(crate) const SEED: u64 = 7;

pub(crate) fn model() -> ModelId {
    ModelId::new("draft").unwrap()
}

pub(crate) fn version(number: u64) -> WeightVersion {
    WeightVersion::new(number)
}

pub(crate) fn engine_options() -> EngineOptions {
    EngineOptions {
        seed: SEED,
        models: BTreeMap::from([(model(), version(1))]),
        ..EngineOptions::default()
    }
}

pub(crate) async fn engine() -> Engine {
    Engine::start(engine_options()).await.unwrap()
}

pub(crate) fn generate_request(prompt: &str, max_tokens: u64, resume_tokens: u64) -> GenerateRequest {
    GenerateRequest {
        request: "r1".to_owned(),
        model: model(),
        prompt: prompt.to_owned(),
        max_tokens,
        resume_tokens,
    }
}

pub(crate) fn request(method: Method, address: SocketAddr, path: &str) -> Request {
    Request::new(method, Url::parse(&format!("http://{address}{path}")).unwrap())
}

pub(crate) async fn send(request: Request) -> Response {
    try_send(request).await.unwrap()
}

pub(crate) async fn try_send(request: Request) -> Result<Response, jm_http::ClientError> {
    Client::new(Limits::default()).send(request).await
}

pub(crate) async fn post(address: SocketAddr, path: &str, body: &impl Serialize) -> Response {
    let mut post = request(Method::Post, address, path);
    post.set_body(Body::from_json(body).unwrap());
    send(post).await
}

pub(crate) async fn get_json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    let mut response = send(request(Method::Get, address, path)).await;
    assert_eq!(response.status(), StatusCode::Ok);
    response.body_json().await.unwrap()
}

/// The lines of a response to `POST /v1/generate`.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct Answer {
    pub(crate) tokens: Vec<TokenLine>,
    pub(crate) done: Vec<FinalLine>,
    /// Whether the body ended with an error.
    pub(crate) cut: bool,
}

impl Answer {
    pub(crate) fn text(&self) -> String {
        self.tokens.iter().map(|line| line.token.as_str()).collect()
    }

    pub(crate) fn add_line(&mut self, line: &str) {
        match serde_json::from_str::<TokenLine>(line) {
            Ok(line) => self.tokens.push(line),
            Err(_) => self.done.push(serde_json::from_str(line).unwrap()),
        }
    }
}

pub(crate) async fn read_answer(response: Response) -> Answer {
    let mut answer = Answer::default();
    let mut lines = response.lines();
    while let Some(line) = lines.next().await {
        match line {
            Ok(line) => answer.add_line(&line),
            Err(_) => {
                answer.cut = true;
                break;
            }
        }
    }
    answer
}

pub(crate) async fn generate(address: SocketAddr, generate: &GenerateRequest) -> Answer {
    let response = post(address, "/v1/generate", generate).await;
    assert_eq!(response.status(), StatusCode::Ok);
    read_answer(response).await
}

pub(crate) async fn order_version(
    address: SocketAddr,
    number: u64,
    fencing: u64,
) -> (StatusCode, OrderAnswer) {
    let order = Order {
        order: OrderKind::LoadVersion,
        model: model(),
        version: version(number),
        role: Role::default(),
        fencing: FencingNumber::new(fencing),
    };
    let mut response = post(address, "/v1/orders", &order).await;
    (response.status(), response.body_json().await.unwrap())
}
