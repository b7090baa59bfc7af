//! List of the ready balancers, kept up to date by health checks.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Pause between two rounds of health checks.
const CHECK_PAUSE: Duration = Duration::from_millis(200);

/// Timeout of the connection and of the answer of one health check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Data addresses of the balancers that passed the last health check.
#[derive(Debug, Clone, Default)]
pub struct ReadyList {
    addresses: Arc<Mutex<Arc<Vec<SocketAddr>>>>,
}

impl ReadyList {
    /// Returns the current list.
    #[must_use]
    pub fn get(&self) -> Arc<Vec<SocketAddr>> {
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn set(&self, addresses: Vec<SocketAddr>) {
        *self.addresses.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(addresses);
    }
}

/// Polls `/readyz` of each balancer in turn and updates the list, until the flag is set.
pub fn poll_readiness(list: &ReadyList, balancers: &[(SocketAddr, SocketAddr)], stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        let ready = balancers.iter().filter(|(_, admin)| is_ready(*admin).unwrap_or(false));

        list.set(ready.map(|(data, _)| *data).collect());
        thread::sleep(CHECK_PAUSE);
    }
}

fn is_ready(admin: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&admin, CHECK_TIMEOUT)?;
    stream.set_read_timeout(Some(CHECK_TIMEOUT))?;
    stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: balancer\r\nConnection: close\r\n\r\n")?;

    let mut status = [0; 12];
    stream.read_exact(&mut status)?;
    Ok(status.ends_with(b"200"))
}
