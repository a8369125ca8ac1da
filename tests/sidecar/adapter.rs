//! Minimal adapter for tests, with its own header names.

use std::time::Duration;

use filbertflow::protocol::adapter::{
    Adapter, DecodeError, GrantSet, Marks, Notice, Refusal, RequestMetadata, Signals, StatedLoad,
    StoreCall, StoreReply, Terms,
};
use filbertflow::protocol::http::{Header, RequestHead, ResponseHead, header_value};
use filbertflow::protocol::mesh::{RateLimit, StoreRequest, StoreResponse};
use filbertflow::state::routes::RouteTable;
use filbertflow::state::store_revision::Era;

/// Adapter whose backend servers sign with `sig` and refuse with `refused`.
#[derive(Debug)]
pub struct Plain;

impl Adapter for Plain {
    fn decode_terms(&self, head: &RequestHead) -> Result<Terms, DecodeError> {
        let id =
            header_value(&head.headers, "id").ok_or_else(|| DecodeError("no id".to_owned()))?;
        Ok(Terms {
            id: id.to_owned(),
            patience: None,
            key: None,
        })
    }

    fn strip_reserved_headers(&self, _headers: &mut Vec<Header>) {}

    fn metadata_headers(&self, metadata: RequestMetadata<'_>) -> Vec<Header> {
        vec![Header::new("left", metadata.left_ms.to_string())]
    }

    fn decode_marks(&self, head: &ResponseHead) -> Marks {
        let text = |name| header_value(&head.headers, name);
        Marks {
            id: text("id").map(str::to_owned),
            signed: text("sig").is_some(),
            refusal: text("refused").map(|_| Refusal::Shed),
            idle: text("idle").map(|_| Duration::from_secs(5)),
            signals: self.decode_signals(&head.headers),
        }
    }

    fn promises_not_run(&self, status: u16) -> bool {
        matches!(status, 429 | 503)
    }

    fn decode_signals(&self, headers: &[Header]) -> Signals {
        let limit = header_value(headers, "limit").map_or(RateLimit::Unlimited, |text| {
            let rate = text.parse();
            rate.map_or(RateLimit::Unknown, RateLimit::PerSecond)
        });
        Signals {
            limit,
            leaving: header_value(headers, "leaving").is_some(),
            load: StatedLoad::Absent,
        }
    }

    fn decode_warmup(&self, _headers: &[Header]) -> Option<Duration> {
        None
    }

    fn request_id_header(&self, id: &str) -> Header {
        Header::new("id", id)
    }

    fn decode_notice(&self, _head: &RequestHead, _body: &[u8]) -> Result<Notice, DecodeError> {
        Err(DecodeError("no heartbeats here".to_owned()))
    }

    fn encode_grants(&self, _grants: Option<&GrantSet>) -> Vec<u8> {
        Vec::new()
    }

    fn is_readiness_probe(&self, _head: &RequestHead) -> bool {
        false
    }

    fn config_key(&self) -> &'static str {
        "config"
    }

    fn operator_prefix(&self) -> &'static str {
        ""
    }

    fn decode_evacuation_key<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix("out/")
    }

    fn decode_config(&self, _value: &[u8]) -> Result<RouteTable, DecodeError> {
        Err(DecodeError("no configuration here".to_owned()))
    }

    fn decode_store_era(&self, _headers: &[Header]) -> Result<Option<Era>, DecodeError> {
        Ok(None)
    }

    fn encode_store_call(&self, _call: &StoreCall) -> StoreRequest {
        StoreRequest {
            method: "GET".to_owned(),
            target: "/".to_owned(),
            body: Vec::new(),
        }
    }

    fn decode_store_reply(
        &self,
        _: &StoreCall,
        _: &StoreResponse,
    ) -> Result<StoreReply, DecodeError> {
        Ok(StoreReply::Refused)
    }
}
