//! Test environment: a stand-in for the store, backend servers that are only sockets, and the real
//! program.

use std::fs;
use std::io::{BufRead, BufReader, Read};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use valvestage_platform::packet::PREFIX_BYTES;
use valvestage_soak::store_relay::StoreRelay;
use valvestage_standins::packets::flow_packet::{FlowPacket, flags};
use valvestage_standins::platform::published_objects::{BackendObject, configuration_object};
use valvestage_standins::platform::{PlatformStandin, start};

/// Time limit for any awaited event. A test fails if it is exceeded.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Service address that callers send to.
pub const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// Waits until a condition holds. Panics with `what` after the time limit.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let give_up = Instant::now() + WAIT_TIMEOUT;

    while !holds() {
        assert!(Instant::now() < give_up, "still waiting: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Returns a loopback address that no other test uses, in this test process or in another that runs
/// at the same time, so that its ports are free.
fn fresh_ip() -> Ipv4Addr {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    assert!(number < u8::MAX, "the tests have used up their addresses");
    let [_, _, high, low] = std::process::id().to_be_bytes();

    Ipv4Addr::new(127, high.max(1), low, number)
}

/// A backend server that is only a socket, from which the test reads the forwarded packets.
pub struct FakeBackend {
    pub instance: u64,
    socket: UdpSocket,
}

impl FakeBackend {
    /// Address at which the backend server receives packets.
    pub fn address(&self) -> SocketAddr {
        self.socket.local_addr().unwrap()
    }

    /// Reports whether a packet has arrived, without consuming it or waiting. The packet may be for
    /// another backend server.
    pub fn has_packet(&self) -> bool {
        let mut byte = [0; 1];
        self.socket.set_nonblocking(true).unwrap();
        let is_there = self.socket.peek(&mut byte).is_ok();

        self.socket.set_nonblocking(false).unwrap();
        is_there
    }

    /// Waits for the next packet. Returns the number of its destination backend server and the
    /// packet.
    pub fn receive(&self) -> (u64, Vec<u8>) {
        let mut datagram = [0; 2_048];
        let length = self.socket.recv(&mut datagram).expect("a packet reaches the backend server");
        let instance = u64::from_be_bytes(datagram[..PREFIX_BYTES].try_into().unwrap());

        (instance, datagram[PREFIX_BYTES..length].to_vec())
    }
}

/// A store with the files and ports of the balancers that use it.
pub struct Site {
    pub standin: PlatformStandin,
    store: SocketAddrV4,
    folder: PathBuf,
    /// Ports for data, readiness, control and peers, which are the same on all VMs.
    ports: [u16; 4],
}

impl Site {
    pub fn new() -> Self {
        let standin = PlatformStandin::default();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let served = standin.clone();
        let store = match listener.local_addr().unwrap() {
            SocketAddr::V4(address) => address,
            SocketAddr::V6(_) => unreachable!("it is bound to an IPv4 address"),
        };
        thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let (_, server) = start(listener, served).unwrap();
                server.await.unwrap();
            });
        });

        let folder = std::env::temp_dir().join(format!("valvestage-entry-{}", fresh_ip()));
        fs::create_dir_all(&folder).unwrap();
        let held: Vec<_> = (0..4).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
        let ports: Vec<u16> =
            held.iter().map(|socket| socket.local_addr().unwrap().port()).collect();
        Self { standin, store, folder, ports: ports.try_into().unwrap() }
    }

    /// Puts a relay between the store and all balancers that are started later.
    pub fn relay_store(&mut self) -> StoreRelay {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
            unreachable!("it is bound to an IPv4 address")
        };
        let relay = StoreRelay::new(address);

        let (serving, store) = (relay.clone(), std::mem::replace(&mut self.store, address));
        thread::spawn(move || {
            actix_rt::System::new().block_on(serving.serve(listener, store)).unwrap();
        });
        relay
    }

    /// Creates a site with configuration version 3, which routes callers to the service `core`.
    pub fn configured() -> Self {
        let site = Self::new();

        site.configure(3, "core");
        site
    }

    /// Writes a configuration that routes callers to a service.
    pub fn configure(&self, version: u64, service: &str) {
        let spec = configuration_object(version, [(SERVICE, service)], |_| None, 15_000);

        self.standin.put_object("config", "main", spec);
    }

    /// Starts a backend server of a service and registers it in the store.
    pub fn backend(&self, instance: u64, service: &str) -> FakeBackend {
        let socket = UdpSocket::bind((fresh_ip(), 0)).unwrap();
        socket.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let SocketAddr::V4(address) = socket.local_addr().unwrap() else {
            unreachable!("it is bound to an IPv4 address")
        };
        let object =
            BackendObject { service, address, zone: "zone-a", slots: 2, is_draining: false };

        self.standin.put_object("servers", &format!("i-{instance:x}"), object.value());
        FakeBackend { instance, socket }
    }

    /// Starts a balancer without waiting until it is ready.
    pub fn balancer(&self, name: &str, seeds: &[&Balancer]) -> Balancer {
        let ip = fresh_ip();
        let file = self.folder.join(format!("{name}.toml"));
        let seeds: Vec<_> = seeds.iter().map(|peer| format!("\"{}:1\"", peer.ip)).collect();
        let settings = self.settings(name, ip, &seeds);
        fs::write(&file, settings).unwrap();

        let child = Command::new(env!("CARGO_BIN_EXE_valvestage-entry"))
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        Balancer { ip, ports: self.ports, file, child, lines: None, log: String::new() }
    }

    /// Starts a balancer and waits until it is ready.
    pub fn ready_balancer(&self, name: &str, seeds: &[&Balancer]) -> Balancer {
        let balancer = self.balancer(name, seeds);

        balancer.wait_ready();
        balancer
    }

    pub fn settings(&self, name: &str, ip: Ipv4Addr, seeds: &[String]) -> String {
        let [data, ready, control, peer] = self.ports;

        format!(
            "name = \"{name}\"\nzone = \"zone-a\"\ndata_address = \"{ip}:{data}\"\n\
             ready_address = \"{ip}:{ready}\"\ncontrol_address = \"{ip}:{control}\"\n\
             peer_port = {peer}\nseeds = [{}]\nstore_address = \"{}\"\nstop_within_s = 6\n",
            seeds.join(", "),
            self.store
        )
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A running balancer.
pub struct Balancer {
    pub ip: Ipv4Addr,
    ports: [u16; 4],
    pub file: PathBuf,
    child: Child,
    /// Lines of the log that are still to be read; `None` while nothing reads the log.
    lines: Option<Receiver<String>>,
    /// The part of the log that was read.
    log: String,
}

impl Balancer {
    pub fn data_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.ports[0])
    }

    /// Addresses of the readiness endpoint and of the metrics endpoint.
    pub fn http_addresses(&self) -> [SocketAddrV4; 2] {
        [self.ports[1], self.ports[2]].map(|port| SocketAddrV4::new(self.ip, port))
    }

    /// Returns the whole HTTP response for a path. `None` if the request fails.
    fn get(&self, port: u16, path: &str) -> Option<String> {
        use std::io::Write;
        let mut stream = TcpStream::connect((self.ip, port)).ok()?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
        write!(stream, "GET {path} HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n").ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        Some(answer)
    }

    pub fn is_ready(&self) -> bool {
        let answer = self.get(self.ports[1], "/-/readiness");

        answer.is_some_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }

    pub fn wait_ready(&self) {
        wait_until("the balancer is ready", || self.is_ready());
    }

    /// Returns the value of a metric, or `None` if the metric or the endpoint is missing.
    pub fn metric(&self, name: &str) -> Option<u64> {
        let text = self.get(self.ports[2], "/metrics")?;
        let line = text.lines().find(|line| line.starts_with(name))?;

        line.rsplit(' ').next()?.parse().ok()
    }

    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).unwrap();
        kill(Pid::from_raw(id), signal).unwrap();
    }

    /// Waits for the next line of the log that contains a text. Panics after the time limit.
    pub fn wait_for_line(&mut self, text: &str) {
        let stdout = self.child.stdout.take();
        let lines = self.lines.get_or_insert_with(|| read_lines(stdout.unwrap()));
        let give_up = Instant::now() + WAIT_TIMEOUT;

        loop {
            let time_left = give_up.saturating_duration_since(Instant::now());
            let line = lines.recv_timeout(time_left);
            let line = line.unwrap_or_else(|error| panic!("no line with {text:?}: {error}"));
            self.log += &line;
            self.log.push('\n');
            if line.contains(text) {
                return;
            }
        }
    }

    /// Waits for the process to end. Returns its status and its standard output.
    pub fn wait(mut self) -> (ExitStatus, String) {
        let mut text = std::mem::take(&mut self.log);
        match self.lines.take() {
            Some(lines) => lines.iter().for_each(|line| text = format!("{text}{line}\n")),
            None => {
                self.child.stdout.take().unwrap().read_to_string(&mut text).unwrap();
            }
        }

        (self.child.wait().unwrap(), text)
    }
}

/// Returns the lines of a process's standard output as they are written.
fn read_lines(stdout: ChildStdout) -> Receiver<String> {
    let (sender, lines) = channel();

    thread::spawn(move || {
        for line in BufReader::new(stdout).lines() {
            if sender.send(line.unwrap()).is_err() {
                return;
            }
        }
    });
    lines
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A caller. It receives packets on the same port as the balancers' data sockets.
pub struct Caller {
    socket: UdpSocket,
    address: SocketAddrV4,
}

impl Caller {
    pub fn new(balancer: &Balancer) -> Self {
        let address = SocketAddrV4::new(fresh_ip(), balancer.ports[0]);
        let socket = UdpSocket::bind(address).unwrap();
        socket.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();

        Self { socket, address }
    }

    /// Returns the caller's address of a flow, as it appears in the log.
    pub fn flow_address(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(*self.address.ip(), port)
    }

    /// Sends a packet of a flow with `data` bytes of data.
    pub fn send(&self, to: &Balancer, flags: u8, port: u16, token: u32, data: usize) {
        self.send_packet(
            to,
            &FlowPacket { flags, token, data: vec![0; data], ..self.packet(port) },
        );
    }

    /// Sends a retransmitted opening packet, which contains the number of retransmissions.
    pub fn send_retransmission(&self, to: &Balancer, port: u16, count: u32) {
        let flags = flags::SYN;

        self.send_packet(to, &FlowPacket { flags, acknowledged: count, ..self.packet(port) });
    }

    /// Sends a packet to another port of the service's address.
    pub fn send_to_port(&self, to: &Balancer, flags: u8, port: u16, service_port: u16) {
        let destination = SocketAddrV4::new(*SERVICE.ip(), service_port);

        self.send_packet(to, &FlowPacket { flags, destination, ..self.packet(port) });
    }

    /// Sends the given packet to a balancer.
    pub fn send_packet(&self, to: &Balancer, packet: &FlowPacket) {
        self.socket.send_to(&packet.encode(), to.data_address()).unwrap();
    }

    /// Returns a packet of a flow without flags and data.
    pub fn packet(&self, port: u16) -> FlowPacket {
        FlowPacket {
            flags: 0,
            token: 0,
            sequence: 1_000,
            acknowledged: 0,
            source: self.flow_address(port),
            destination: SERVICE,
            data: Vec::new(),
        }
    }

    /// Waits for the next packet to the caller and returns it.
    pub fn receive(&self) -> Vec<u8> {
        let mut packet = [0; 2_048];
        let length = self.socket.recv(&mut packet).expect("a packet reaches the caller");

        packet[..length].to_vec()
    }
}

/// Returns the token of a packet.
pub fn token_of(packet: &[u8]) -> u32 {
    FlowPacket::decode(packet).unwrap().token
}
