//! Edits to the text of a document that preserve comments and formatting.

use jsonc_parser::cst;

use crate::protocol::{error, source};
use crate::state::ids;

/// Field with the list of drained nodes.
const DRAIN_FIELD: &str = "drain";

/// Adds a node to the list of drained nodes. Returns `None` if it is already listed.
///
/// # Errors
///
/// Returns [`error::Error::Decode`] if the text is not a JSON object or the field is not a list.
pub fn drain(text: &str, node: ids::NodeAddr) -> Result<Option<String>, error::Error> {
    let (root, object) = parse(text)?;
    let list = object
        .array_value_or_create(DRAIN_FIELD)
        .ok_or_else(|| decode_error("drain is not a list"))?;
    if position(&list, node).is_some() {
        return Ok(None);
    }
    list.append(cst::CstInputValue::String(node.to_string()));
    Ok(Some(root.to_string()))
}

/// Removes a node from the list of drained nodes. Returns `None` if it is not listed.
///
/// # Errors
///
/// Returns [`error::Error::Decode`] if the text is not a JSON object.
pub fn undrain(text: &str, node: ids::NodeAddr) -> Result<Option<String>, error::Error> {
    let (root, object) = parse(text)?;
    let Some(list) = object.array_value(DRAIN_FIELD) else {
        return Ok(None);
    };
    let Some(entry) = position(&list, node) else {
        return Ok(None);
    };
    entry.remove();
    Ok(Some(root.to_string()))
}

fn parse(text: &str) -> Result<(cst::CstRootNode, cst::CstObject), error::Error> {
    let root = cst::CstRootNode::parse(text, &source::options())
        .map_err(|e| error::Error::Decode(e.to_string()))?;
    let object = root
        .object_value()
        .ok_or_else(|| decode_error("document is not an object"))?;
    Ok((root, object))
}

fn position(list: &cst::CstArray, node: ids::NodeAddr) -> Option<cst::CstNode> {
    let matches = |e: &cst::CstNode| {
        let text = e.as_string_lit().and_then(|s| s.decoded_value().ok());
        text.and_then(|t| t.parse().ok()) == Some(node)
    };
    list.elements().into_iter().find(matches)
}

fn decode_error(reason: &str) -> error::Error {
    error::Error::Decode(reason.to_owned())
}
