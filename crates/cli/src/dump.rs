//! Shows the tables of an entry instance.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use bluebellpath::http::{Client, ClientConfig, Request};
use bluebellpath_runtime::runtime;
use http::{Method, StatusCode};

/// Longest wait for the dump.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Prints at most `limit` rows of each table of the instance at `entry`.
pub fn run(entry: SocketAddr, limit: u64) -> ExitCode {
    let response = runtime::block_on(async {
        let mut request = Request::new(Method::GET, "/debug/state");
        request.query = Some(format!("limit={limit}"));
        let client = Client::new(ClientConfig::default());
        client.send(entry, request, TIMEOUT).await
    });
    let response = match response {
        Ok(response) => response,
        Err(error) => {
            eprintln!("bluebellpath: {error}");
            return ExitCode::FAILURE;
        }
    };
    let pretty = serde_json::from_slice::<serde_json::Value>(&response.body)
        .and_then(|it| serde_json::to_string_pretty(&it));
    match pretty {
        Ok(pretty) if response.status == StatusCode::OK => {
            println!("{pretty}");
            ExitCode::SUCCESS
        }
        _ => {
            let body = String::from_utf8_lossy(&response.body);
            eprintln!("bluebellpath: status {}: {body}", response.status.as_u16());
            ExitCode::FAILURE
        }
    }
}
