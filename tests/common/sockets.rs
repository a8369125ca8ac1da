//! Finds the process that owns the local end of a TCP connection, from `/proc`.

use std::fs;
use std::net::SocketAddr;

/// Returns the process among `pids` that holds the socket with this local address.
pub fn owner(local: SocketAddr, pids: &[u32]) -> Option<u32> {
    let inode = inode(local)?;
    let link = format!("socket:[{inode}]");
    pids.iter().copied().find(|pid| holds(*pid, &link))
}

fn inode(local: SocketAddr) -> Option<String> {
    let SocketAddr::V4(local) = local else {
        return None;
    };
    let ip = u32::from_ne_bytes(local.ip().octets());
    let wanted = format!("{ip:08X}:{:04X}", local.port());
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    table.lines().skip(1).find_map(|line| {
        let mut fields = line.split_whitespace();
        let matches = fields.nth(1) == Some(wanted.as_str());
        let inode = fields.nth(7)?;
        (matches && inode != "0").then(|| inode.to_owned())
    })
}

fn holds(pid: u32, link: &str) -> bool {
    let Ok(files) = fs::read_dir(format!("/proc/{pid}/fd")) else {
        return false;
    };
    files
        .flatten()
        .any(|file| fs::read_link(file.path()).is_ok_and(|target| target.as_os_str() == link))
}
