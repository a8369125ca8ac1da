//! Small adapter for tests, with header names of its own.

use std::time::Duration;

use filbertflow::protocol::edge::{
    Adapter, Grants, Marks, Notice, Order, Refusal, StoreCall, StoreReply, Terms, Unreadable,
};
use filbertflow::protocol::http::{Header, RequestHead, ResponseHead, value};
use filbertflow::protocol::mesh::{StoreRequest, StoreResponse};
use filbertflow::state::routes::RouteTable;

/// Adapter whose backend servers sign with `sig` and refuse with `refused`.
#[derive(Debug)]
pub struct Plain;

impl Adapter for Plain {
    fn terms(&self, head: &RequestHead) -> Result<Terms, Unreadable> {
        let id = value(&head.headers, "id").ok_or_else(|| Unreadable("no id".to_owned()))?;
        Ok(Terms {
            id: id.to_owned(),
            patience: None,
            key: None,
        })
    }

    fn strip(&self, _headers: &mut Vec<Header>) {}

    fn order(&self, order: Order<'_>) -> Vec<Header> {
        vec![Header::new("left", order.left_ms.to_string())]
    }

    fn marks(&self, head: &ResponseHead) -> Marks {
        let text = |name| value(&head.headers, name);
        Marks {
            id: text("id").map(str::to_owned),
            signed: text("sig").is_some(),
            refusal: text("refused").map(|_| Refusal::Shed),
            idle: text("idle").map(|_| Duration::from_secs(5)),
        }
    }

    fn echo(&self, id: &str) -> Header {
        Header::new("id", id)
    }

    fn notice(&self, _head: &RequestHead, _body: &[u8]) -> Result<Notice, Unreadable> {
        Err(Unreadable("no heartbeats here".to_owned()))
    }

    fn grants(&self, _grants: Option<&Grants>) -> Vec<u8> {
        Vec::new()
    }

    fn is_ready_probe(&self, _head: &RequestHead) -> bool {
        false
    }

    fn config_key(&self) -> &'static str {
        "config"
    }

    fn config(&self, _value: &[u8]) -> Result<RouteTable, Unreadable> {
        Err(Unreadable("no configuration here".to_owned()))
    }

    fn store_request(&self, _call: &StoreCall) -> StoreRequest {
        StoreRequest {
            method: "GET".to_owned(),
            target: "/".to_owned(),
            body: Vec::new(),
        }
    }

    fn store_reply(&self, _: &StoreCall, _: &StoreResponse) -> Result<StoreReply, Unreadable> {
        Ok(StoreReply::Refused)
    }
}
