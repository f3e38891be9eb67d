//! Removes headers that must not be forwarded.

use reqwest::header::{CONNECTION, HeaderMap};

/// Hop-by-hop headers (RFC 9110, 7.6.1), and headers that the HTTP client sets itself.
const HOP_BY_HOP: [&str; 12] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "expect",
    "content-length",
];

/// Returns the headers without hop-by-hop headers, those listed in `Connection`, and the content length.
pub fn strip_hop_by_hop(headers: &HeaderMap) -> HeaderMap {
    let connection_headers = named_by_connection(headers);
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_listed = connection_headers
            .iter()
            .any(|other| other == name.as_str());
        if is_listed || HOP_BY_HOP.contains(&name.as_str()) {
            continue;
        }
        forwarded.append(name.clone(), value.clone());
    }
    forwarded
}

fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}
