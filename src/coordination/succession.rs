//! Creation of partition records, and claims when coordinator and standbys are all lost.

use std::sync::Arc;

use crate::coordination::node;

/// Creates missing records and announces claims on abandoned ones.
pub async fn run(_node: Arc<node::Node>) {}
