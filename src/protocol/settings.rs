//! JSON form of a node's settings.

use std::net;

use serde::{Deserialize, Serialize};

use crate::protocol::validation;
use crate::state::{ids, settings};

/// JSON form of [`settings::Settings`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, expecting = "an object with settings")]
pub struct Settings {
    region: Option<String>,
    failure_domain: Option<String>,
    caller: Option<String>,
    peer: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    peer_listen: Option<String>,
    admin: Option<String>,
    platform: Option<String>,
    peers: Option<Vec<Option<String>>>,
}

impl From<&settings::Settings> for Settings {
    fn from(s: &settings::Settings) -> Self {
        Self {
            region: Some(s.region.clone()),
            failure_domain: Some(s.domain.clone()),
            caller: Some(s.caller.to_string()),
            peer: Some(s.peer.to_string()),
            peer_listen: s.peer_listen.map(|a| a.to_string()),
            admin: Some(s.admin.to_string()),
            platform: Some(s.platform.to_string()),
            peers: Some(s.peers.iter().map(|p| Some(p.to_string())).collect()),
        }
    }
}

impl TryFrom<Settings> for settings::Settings {
    type Error = Vec<validation::Violation>;

    fn try_from(s: Settings) -> Result<Self, Self::Error> {
        let mut validator = validation::Validator::default();
        let region = validator.name("region", s.region);
        let domain = validator.name("failure_domain", s.failure_domain);
        let caller = address(&mut validator, "caller", s.caller);
        let peer = address(&mut validator, "peer", s.peer);
        let peer_listen = s
            .peer_listen
            .and_then(|a| address(&mut validator, "peer_listen", Some(a)));
        let admin = address(&mut validator, "admin", s.admin);
        let platform = address(&mut validator, "platform", s.platform);
        let peers = addresses(&mut validator, "peers", s.peers);
        let mut used: Vec<_> = [
            ("caller", caller),
            ("peer", peer),
            ("peer_listen", peer_listen),
            ("admin", admin),
            ("platform", platform),
        ]
        .into_iter()
        .filter_map(|(path, a)| Some((path.to_owned(), a?)))
        .collect();
        used.extend(peers.iter().map(|(path, a)| (path.clone(), *a)));
        validator.distinct(&used);
        let settings = (|| {
            Some(Self {
                region: region?,
                domain: domain?,
                caller: caller?,
                peer: ids::NodeAddr(peer?),
                peer_listen,
                admin: admin?,
                platform: platform?,
                peers: peers.into_iter().map(|(_, a)| ids::NodeAddr(a)).collect(),
            })
        })();
        validator.finish(settings)
    }
}

/// Validates a required address that other processes can connect to.
pub(super) fn address(
    validator: &mut validation::Validator,
    path: &str,
    value: Option<String>,
) -> Option<net::SocketAddr> {
    let expected = "an IP address with a port, such as 127.0.0.1:7101";
    let addr: net::SocketAddr = validator.parsed(path, value, expected)?;
    if addr.port() == 0 || addr.ip().is_unspecified() {
        validator.reject(
            path,
            format!("expected an address that others can connect to, found {addr}"),
        );
        return None;
    }
    Some(addr)
}

/// Validates an optional list of addresses and returns each with its path.
pub(super) fn addresses(
    validator: &mut validation::Validator,
    path: &str,
    values: Option<Vec<Option<String>>>,
) -> Vec<(String, net::SocketAddr)> {
    let mut found = Vec::new();
    for (i, value) in values.unwrap_or_default().into_iter().enumerate() {
        let path = format!("{path}[{i}]");
        if let Some(addr) = address(validator, &path, value) {
            found.push((path, addr));
        }
    }
    found
}
