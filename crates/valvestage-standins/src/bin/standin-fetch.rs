//! Minimal HTTP client, so that scripts need no other program for one.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;

/// Prints the body of an HTTP response; exit code 1 unless the status is 200
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// JSON body of a POST request; without it a GET request is sent
    #[bpaf(long, argument("JSON"))]
    post: Option<String>,
    /// IP address and port of the server
    #[bpaf(positional("ADDRESS"))]
    address: SocketAddr,
    /// Path of the resource
    #[bpaf(positional("PATH"))]
    path: String,
}

fn main() -> io::Result<ExitCode> {
    let arguments = arguments().run();
    let mut stream = TcpStream::connect(arguments.address)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;

    let head = "Host: standin\r\nConnection: close";
    let request = match &arguments.post {
        None => format!("GET {} HTTP/1.1\r\n{head}\r\n\r\n", arguments.path),
        Some(json) => format!(
            "POST {} HTTP/1.1\r\n{head}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{json}",
            arguments.path,
            json.len()
        ),
    };
    stream.write_all(request.as_bytes())?;

    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    let answer = String::from_utf8_lossy(&answer);
    let (status, body) = answer.split_once("\r\n\r\n").unwrap_or((&answer, ""));
    print!("{body}");
    Ok(if status.contains(" 200 ") { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
