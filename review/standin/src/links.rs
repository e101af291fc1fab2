//! The network between the hosts: each host reaches each other one, over UDP and TCP, through relays of its own, so that
//! single hosts can be cut off from the others.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The relays between all hosts.
#[derive(Clone, Default)]
pub struct Links {
    /// Where a host receives what others send.
    real: BTreeMap<String, SocketAddr>,
    /// The address at which the first host reaches the second one.
    relays: BTreeMap<(String, String), SocketAddr>,
    cut: BTreeMap<String, Arc<AtomicBool>>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

/// A relay's two sockets on the same port.
struct Relay {
    udp: UdpSocket,
    tcp: TcpListener,
}

impl Relay {
    fn bind() -> Relay {
        loop {
            let tcp = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let address = tcp.local_addr().expect("an address");
            if let Ok(udp) = UdpSocket::bind(address) {
                return Relay { udp, tcp };
            }
        }
    }

    fn address(&self) -> SocketAddr {
        self.udp.local_addr().expect("an address")
    }
}

impl Links {
    /// Starts the relays between hosts, given their names and the addresses at which they receive.
    pub fn start(hosts: &[(String, SocketAddr)]) -> Links {
        let mut links = Links::default();
        for (name, address) in hosts {
            links.real.insert(name.clone(), *address);
            links.cut.insert(name.clone(), Arc::default());
        }
        for (index, (one, one_real)) in hosts.iter().enumerate() {
            for (other, other_real) in &hosts[index + 1..] {
                let (there, back) = (Relay::bind(), Relay::bind());
                let pair = |a: &String, b: &String| (a.clone(), b.clone());
                links.relays.insert(pair(one, other), there.address());
                links.relays.insert(pair(other, one), back.address());
                let cut = [links.cut[one].clone(), links.cut[other].clone()];
                links.relay(there.udp, back.udp, *one_real, *other_real, &cut);
                links.relay_tcp(there.tcp, *other_real, &cut);
                links.relay_tcp(back.tcp, *one_real, &cut);
            }
        }
        links
    }

    /// Cuts a host off from all others, or no longer.
    pub fn cut(&self, host: &str, cut: bool) {
        self.cut[host].store(cut, Ordering::SeqCst);
        if cut {
            for stream in self.open.lock().expect("no thread panicked").drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Returns a text of the store as a host sees it: with the addresses at which it reaches the others.
    pub fn view(&self, host: &str, text: String) -> String {
        let others = self.real.iter().filter(|(name, _)| *name != host);
        others.fold(text, |text, (name, real)| {
            let relay = self.relays[&(host.to_string(), name.clone())];
            text.replace(&format!("\"{real}\""), &format!("\"{relay}\""))
        })
    }

    fn relay(
        &self,
        there: UdpSocket,
        back: UdpSocket,
        one: SocketAddr,
        other: SocketAddr,
        cut: &[Arc<AtomicBool>; 2],
    ) {
        let (there, back) = (Arc::new(there), Arc::new(back));
        for (from, to, target) in [(there.clone(), back.clone(), other), (back, there, one)] {
            let cut = cut.clone();
            std::thread::spawn(move || {
                let mut buffer = [0; 64 * 1024];
                loop {
                    let Ok((length, _)) = from.recv_from(&mut buffer) else {
                        continue;
                    };
                    if !is_cut(&cut) {
                        let _ = to.send_to(&buffer[..length], target);
                    }
                }
            });
        }
    }

    fn relay_tcp(&self, listener: TcpListener, target: SocketAddr, cut: &[Arc<AtomicBool>; 2]) {
        let (open, cut) = (self.open.clone(), cut.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if is_cut(&cut) {
                    continue;
                }
                let limit = Duration::from_millis(500);
                let Ok(other) = TcpStream::connect_timeout(&target, limit) else {
                    continue;
                };
                let mut open = open.lock().expect("no thread panicked");
                open.extend(stream.try_clone());
                open.extend(other.try_clone());
                pipe(&stream, &other);
                pipe(&other, &stream);
            }
        });
    }
}

fn is_cut(cut: &[Arc<AtomicBool>; 2]) -> bool {
    cut.iter().any(|cut| cut.load(Ordering::SeqCst))
}

fn pipe(from: &TcpStream, to: &TcpStream) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    std::thread::spawn(move || {
        let mut buffer = [0; 16 * 1024];
        while let Ok(length) = from.read(&mut buffer) {
            if length == 0 || to.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    });
}
