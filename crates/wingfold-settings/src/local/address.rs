//! Addresses of the form `host:port`.

use crate::hcl::Block;

/// Reports a text that is not an address of the form `host:port`. The host may be an IP address or a name; a
/// port of 0 is invalid.
pub(super) fn check_address(block: &Block, key: &'static str, text: &str) {
    let port = match text.rsplit_once(':') {
        Some((host, port)) if !host.is_empty() => port.parse::<u16>().ok(),
        _ => None,
    };
    if port.is_none_or(|port| port == 0) {
        let example = "such as 10.0.0.9:2003 or graphite.example:2003";
        block.report_key(key, None, format!("`{text}` is not an address of the form host:port, {example}"));
    }
}
