//! A stand-in for a server of a plain service.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::Connection;
use crate::record::Record;

/// A run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub began: f64,
    /// When its answer was written; `None` if it was not.
    pub ended: Option<f64>,
}

/// A server, which works on each request for a time and answers with a body of some length.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

impl Server {
    /// Starts a server. The path of a request may end with `work-MS` and contain `size-BYTES`.
    pub fn start(ip: &str, id: &str, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let server = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            runs: Arc::default(),
            record: record.clone(),
        };
        let shared = server.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let server = shared.clone();
                thread::spawn(move || {
                    if let Ok(connection) = Connection::new(socket) {
                        server.serve(connection);
                    }
                });
            }
        });
        Ok(server)
    }

    /// Returns the server's entry in the list of servers.
    pub fn row(&self, service: &str, zone: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"addr\":\"{}\",\"zone\":\"{zone}\",\"version\":\"1\",\
             \"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":0,\"born\":1}}",
            self.address
        )
    }

    /// Returns what it has run.
    pub fn runs(&self) -> Vec<Run> {
        self.runs
            .lock()
            .map(|runs| runs.clone())
            .unwrap_or_default()
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.message() {
            let (_, target) = request.request();
            let id = request
                .header("boragereel-request-id")
                .unwrap_or("")
                .to_owned();
            let answer = |status: &str, fields: &str, body: &str| {
                format!(
                    "HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n{body}",
                    body.len()
                )
            };
            if target.starts_with("/healthz") {
                let fields = format!("Boragereel-Instance-Id: {}\r\n", self.id);
                if connection
                    .send(answer("200 OK", &fields, "").as_bytes())
                    .is_err()
                {
                    return;
                }
                continue;
            }
            if request
                .header("boragereel-expect-instance")
                .is_some_and(|expected| expected != self.id)
            {
                let fields = format!(
                    "Boragereel-Instance-Id: {}\r\nBoragereel-Request-Id: {id}\r\n",
                    self.id
                );
                if connection
                    .send(answer("421 Misdirected Request", &fields, "").as_bytes())
                    .is_err()
                {
                    return;
                }
                continue;
            }
            let began = self.record.seconds();
            let position = {
                let mut runs = self.runs.lock().expect("the runs");
                runs.push(Run {
                    id: id.clone(),
                    began,
                    ended: None,
                });
                runs.len() - 1
            };
            let number = |name: &str| {
                let words = target.split('/').find_map(|word| word.strip_prefix(name));
                words.and_then(|word| word.parse::<u64>().ok())
            };
            self.record
                .line(&format!("server {} runs {id} ({target})", self.id));
            thread::sleep(Duration::from_millis(number("work-").unwrap_or(0)));
            let body = "x".repeat(number("size-").unwrap_or(200) as usize);
            let fields = format!(
                "Boragereel-Request-Id: {id}\r\nBoragereel-Server-Seal: seal-{}\r\nContent-Type: text/plain\r\n",
                self.id
            );
            let sent = connection
                .send(answer("200 OK", &fields, &body).as_bytes())
                .is_ok();
            if sent {
                let mut runs = self.runs.lock().expect("the runs");
                runs[position].ended = Some(self.record.seconds());
                self.record
                    .line(&format!("server {} has answered {id}", self.id));
            } else {
                self.record
                    .line(&format!("server {} could not answer {id}", self.id));
                return;
            }
        }
    }
}
