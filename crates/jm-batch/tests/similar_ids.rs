//! Batches whose ids begin alike keep their own results and texts. An id may hold the characters that separate the parts of
//! a key.

mod common;

use std::sync::Arc;

use common::*;
use jm_platform::{Condition, ObjectStore};

const ID: &str = "draws-7";

/// What other batches append to [`ID`], with every character that ids may hold beside letters.
const SUFFIXES: [&str; 12] = [
    ".0",
    ".000000",
    ".000000.000001",
    ".0000000",
    ".x",
    ".",
    "..",
    "-0",
    "_0",
    ":0",
    "0",
    ".000000:x",
];

fn start_host(name: &str, hosts: &Arc<Hosts>, store: &Arc<FaultyStore>) -> TestHost {
    let script: Script = Box::new(|_, request| text(request, 3, 1));
    TestHost::start(name, hosts, store, vec![engine("e1", 16, 1)], script)
}

/// Runs batches with these ids to their end on a host, which is then killed. Readers have to read the store afterwards.
async fn run_to_end(ids: &[String], store: &Arc<FaultyStore>) {
    let hosts = Arc::new(Hosts::default());
    let owner = start_host("owner", &hosts, store);
    for id in ids {
        owner.service.submit(spec(id, &[1, 1])).await.unwrap();
        owner.listed(id, 2).await;
    }
}

/// Guards against results of another batch after the owner's end. A listing of the pieces of `draws-7` also returns those
/// of `draws-7.0`, which came first and were taken for its own.
#[async_std::test]
async fn results_after_a_kill() {
    for suffix in SUFFIXES {
        let store = FaultyStore::new();
        let ids = [ID.to_owned(), format!("{ID}{suffix}")];
        run_to_end(&ids, &store).await;
        let reader = start_host("reader", &Arc::new(Hosts::default()), &store);
        for id in &ids {
            let page = reader.listed(id, 2).await;
            let mut items: Vec<&str> = page.results.iter().map(|result| result.item.as_str()).collect();
            items.sort_unstable();
            assert_eq!(items, [format!("{id}-0"), format!("{id}-1")], "batch {id}");
        }
    }
}

/// Guards against the loss of saved texts: the removal of `draws-7` deleted those of every batch whose id begins with its id
/// and a dot.
#[async_std::test]
async fn texts_after_a_removal() {
    for suffix in SUFFIXES {
        let store = FaultyStore::new();
        let host = start_host("owner", &Arc::new(Hosts::default()), &store);
        host.service.submit(spec(ID, &[1])).await.unwrap();
        host.listed(ID, 1).await;
        host.service.clean_up().await;
        let own = format!("batch-texts/{ID}.0000");
        let other = format!("batch-texts/{ID}{suffix}.0001");
        for key in [&own, &other] {
            store.put(key, b"[]".to_vec(), Condition::Any).await.unwrap();
        }
        host.clock.move_wall(RETENTION_MS.get() as i64 + 1);
        host.service.clean_up().await;
        let left = store.inner.list("batch-").await.unwrap().objects;
        let left: Vec<&str> = left.iter().map(|object| object.key.as_str()).collect();
        assert_eq!(left, [other.as_str()], "removal of {ID} beside {ID}{suffix}");
    }
}
