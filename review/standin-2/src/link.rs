//! Links between zones: what entry hosts of different zones send each other, by datagrams and by connections on the same
//! port, arrives later by the one-way time between zones. A zone may be cut off from the others: datagrams are lost, and
//! bytes of connections are held up.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::mpsc::{self, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The one-way time between zones, as the sheet of terminwerk-muc gives it.
const ONE_WAY: Duration = Duration::from_micros(500);
/// More than the longest datagram of an entry host.
const MAX_DATAGRAM: usize = 64 * 1024;

/// The zone that is cut off, if one is.
#[derive(Clone, Default)]
pub struct Cut(Arc<Mutex<Option<String>>>);

impl Cut {
    /// Cuts a zone off, or heals the cut.
    pub fn set(&self, zone: Option<&str>) {
        *self.0.lock().unwrap() = zone.map(str::to_string);
    }

    /// Returns whether a zone is cut off.
    pub fn holds(&self, zone: &str) -> bool {
        self.0.lock().unwrap().as_deref() == Some(zone)
    }

    /// Waits until a zone is not cut off.
    pub fn wait_until_healed(&self, zone: &str) {
        while self.holds(zone) {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// The links, by the zone that they begin in and the process that they lead to.
#[derive(Default)]
pub struct Links {
    open: Mutex<HashMap<(String, SocketAddr), SocketAddr>>,
    pub cut: Cut,
}

/// The two zones that a link joins.
#[derive(Clone)]
struct Ends {
    zones: [String; 2],
    cut: Cut,
}

impl Ends {
    fn are_cut(&self) -> bool {
        self.zones.iter().any(|zone| self.cut.holds(zone))
    }

    fn wait_until_healed(&self) {
        self.zones
            .iter()
            .for_each(|zone| self.cut.wait_until_healed(zone));
    }
}

impl Links {
    /// Returns the address at which a zone reaches a process of another zone.
    pub fn lead(&self, zone: &str, to_zone: &str, to: SocketAddr) -> Option<SocketAddr> {
        let mut open = self.open.lock().unwrap();
        let key = (zone.to_string(), to);
        if let Some(known) = open.get(&key) {
            return Some(*known);
        }
        let ends = Ends {
            zones: [zone.to_string(), to_zone.to_string()],
            cut: self.cut.clone(),
        };
        let link = begin(&ends, to).ok()?;
        open.insert(key, link);
        Some(link)
    }
}

/// Opens a link on a port that is free for datagrams and for connections.
fn begin(ends: &Ends, to: SocketAddr) -> io::Result<SocketAddr> {
    const TRIES: usize = 20;
    let mut last = io::Error::other("no free port");
    for _ in 0..TRIES {
        let datagrams = UdpSocket::bind("127.0.0.1:0")?;
        let address = datagrams.local_addr()?;
        match TcpListener::bind(address) {
            Ok(listener) => {
                let datagrams = Arc::new(datagrams);
                let (ways, streams) = (ends.clone(), ends.clone());
                thread::spawn(move || pass_datagrams(&ways, &datagrams, to));
                thread::spawn(move || {
                    for stream in listener.incoming().flatten() {
                        let ends = streams.clone();
                        thread::spawn(move || pass_connection(&ends, stream, to));
                    }
                });
                return Ok(address);
            }
            Err(error) => last = error,
        }
    }
    Err(last)
}

/// Starts a task that runs `pass` on each piece when its time has come, and returns where pieces are handed in.
fn delayed(pass: impl Fn(&[u8]) + Send + 'static) -> Sender<Vec<u8>> {
    let (sender, pieces) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        for (due, piece) in pieces {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            pass(&piece);
        }
    });
    let (entry, incoming) = mpsc::channel::<Vec<u8>>();
    thread::spawn(move || {
        for piece in incoming {
            if sender.send((Instant::now() + ONE_WAY, piece)).is_err() {
                return;
            }
        }
    });
    entry
}

fn pass_datagrams(ends: &Ends, link: &Arc<UdpSocket>, to: SocketAddr) {
    let mut ways: HashMap<SocketAddr, Sender<Vec<u8>>> = HashMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        // A datagram to a port that is closed for now shows as an error here.
        let Ok((length, from)) = link.recv_from(&mut buffer) else {
            continue;
        };
        let way = match ways.get(&from) {
            Some(way) => way,
            None => match open_way(ends, link.clone(), from, to) {
                Ok(way) => ways.entry(from).or_insert(way),
                Err(_) => continue,
            },
        };
        if !ends.are_cut() {
            let _ = way.send(buffer[..length].to_vec());
        }
    }
}

/// Opens the way of one sender: what its target answers goes back to it.
fn open_way(
    ends: &Ends,
    link: Arc<UdpSocket>,
    from: SocketAddr,
    to: SocketAddr,
) -> io::Result<Sender<Vec<u8>>> {
    let socket = Arc::new(UdpSocket::bind("127.0.0.1:0")?);
    let back = socket.clone();
    let answers = delayed(move |piece| {
        let _ = link.send_to(piece, from);
    });
    let ends = ends.clone();
    thread::spawn(move || {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            if let Ok((length, _)) = back.recv_from(&mut buffer)
                && !ends.are_cut()
                && answers.send(buffer[..length].to_vec()).is_err()
            {
                return;
            }
        }
    });
    Ok(delayed(move |piece| {
        let _ = socket.send_to(piece, to);
    }))
}

fn pass_connection(ends: &Ends, near: TcpStream, to: SocketAddr) {
    ends.wait_until_healed();
    let Ok(far) = TcpStream::connect(to) else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let readers = near
        .try_clone()
        .and_then(|near_read| Ok((near_read, far.try_clone()?)));
    if let Ok((near_read, far_read)) = readers {
        let there = ends.clone();
        thread::spawn(move || pass_bytes(&there, near_read, far));
        pass_bytes(ends, far_read, near);
    }
}

fn pass_bytes(ends: &Ends, mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    while let Ok(length) = from.read(&mut buffer) {
        thread::sleep(ONE_WAY);
        ends.wait_until_healed();
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
