//! Statuses that promise that a request did not run, in answers to requests that an upstream took.

#![allow(clippy::unwrap_used)]

mod directenv;

use std::time::Duration;

use agateflow::direct::config::{Config, Kind, Route};
use directenv::{Action, Fixture, Server, config, get, ok_response, read_all, route, run_local};
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::time;

/// Statuses that promise that the request did not run and will not.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Errors of all kinds and a success.
const STATUSES: [u16; 10] = [200, 400, 404, 408, 421, 429, 500, 502, 503, 504];

const MARK: &str = "not-run: 1\r\n";
const PROOF: &str = "proof: p\r\n";
const NAMES: [&str; 3] = ["id: 2\r\n", "id: other\r\n", ""];
const SENDERS: [&str; 3] = ["sender: u\r\n", "sender: another\r\n", ""];

/// A response to the request with id 2.
#[derive(Clone, Copy, Debug)]
struct Answer {
    status: u16,
    name: &'static str,
    sender: &'static str,
    mark: &'static str,
    proof: &'static str,
}

impl Answer {
    const fn error(status: u16) -> Self {
        Self { status, name: NAMES[0], sender: "", mark: "", proof: PROOF }
    }

    fn bytes(&self) -> String {
        let Self { status, name, sender, mark, proof } = self;
        format!("HTTP/1.1 {status} X\r\n{name}{sender}{mark}{proof}content-length: 4\r\n\r\nbody")
    }

    /// Whether it proves that the upstream did not run the request: it is an answer to it, and a
    /// refusal that is marked as one, or says that another upstream has the address.
    fn proves_not_run(&self, reused: bool) -> bool {
        let is_answer = self.name == NAMES[0] || (self.name.is_empty() && !reused);
        let is_refusal = self.status != 200 && !self.mark.is_empty();
        let is_misdirected =
            self.status == 421 && self.sender == SENDERS[1] && self.proof.is_empty();
        is_answer && (is_refusal || is_misdirected)
    }

    fn all() -> Vec<Self> {
        let mut all = Vec::new();
        for status in STATUSES {
            for name in NAMES {
                for sender in SENDERS {
                    for mark in [MARK, ""] {
                        for proof in [PROOF, ""] {
                            all.push(Self { status, name, sender, mark, proof });
                        }
                    }
                }
            }
        }
        all
    }
}

fn status(response: &str) -> u16 {
    response.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
}

/// Lets one upstream give `answer` to the request with id 2 on `path`, and returns what its caller
/// gets. With `reused`, the connection to the upstream carried an earlier request.
async fn call(answer: Answer, path: &str, reused: bool) -> String {
    let mut actions = vec![Action::Send(answer.bytes())];
    if reused {
        actions.insert(0, Action::Send(ok_response("1", "first")));
    }
    let upstream = Server::start("u", actions).await;
    let fixture = Fixture::start(&[&upstream]);
    if reused {
        fixture.call(path, "1").await;
    }
    fixture.call(path, "2").await
}

#[rstest]
fn own_error_of_an_upstream_promises_nothing(
    #[values(408, 429, 503)] status: u16,
    #[values(PROOF, "")] proof: &'static str,
    #[values("/once/", "/safe/", "/stream/")] path: &str,
    #[values(false, true)] reused: bool,
) {
    run_local(async {
        let answer = Answer { proof, ..Answer::error(status) };

        let got = call(answer, path, reused).await;

        assert!(got.starts_with("HTTP/1.1 502"), "{got}");
        assert!(!got.contains("proof"), "another status than the upstream's own: {got}");
    });
}

#[rstest]
#[case::with_proof(Answer::error(421))]
#[case::with_proof_of_another(Answer { sender: SENDERS[1], ..Answer::error(421) })]
#[case::of_the_expected_upstream(Answer { sender: SENDERS[0], proof: "", ..Answer::error(421) })]
#[case::of_no_upstream(Answer { proof: "", ..Answer::error(421) })]
#[case::of_no_upstream_without_an_id(Answer { name: "", proof: "", ..Answer::error(421) })]
fn misdirection_that_names_no_other_upstream_promises_nothing(
    #[case] answer: Answer,
    #[values("/once/", "/safe/", "/stream/")] path: &str,
    #[values(false, true)] reused: bool,
) {
    run_local(async {
        let got = call(answer, path, reused).await;

        assert!(got.starts_with("HTTP/1.1 502"), "{got}");
        assert!(!got.contains("proof"), "{got}");
    });
}

#[rstest]
fn success_that_is_marked_as_not_run_promises_nothing(
    #[values(PROOF, "")] proof: &'static str,
    #[values("/once/", "/safe/")] path: &str,
) {
    run_local(async {
        let answer = Answer { mark: MARK, proof, ..Answer::error(200) };

        let got = call(answer, path, false).await;

        assert!(got.starts_with("HTTP/1.1 502"), "{got}");
    });
}

#[rstest]
#[case::refused(Answer { mark: MARK, proof: "", ..Answer::error(503) })]
#[case::refused_without_an_id(Answer { name: "", mark: MARK, proof: "", ..Answer::error(429) })]
#[case::malformed(Answer { mark: MARK, proof: "", ..Answer::error(400) })]
#[case::misdirected(Answer { mark: MARK, sender: SENDERS[1], proof: "", ..Answer::error(421) })]
#[case::misdirected_without_a_mark(Answer { sender: SENDERS[1], proof: "", ..Answer::error(421) })]
#[case::misdirected_without_an_id(Answer { name: "", sender: SENDERS[1], proof: "", ..Answer::error(421) })]
fn refusal_with_proof_is_told_with_the_time_to_come_back(
    #[case] answer: Answer,
    #[values("/once/", "/stream/")] path: &str,
) {
    run_local(async {
        let got = call(answer, path, false).await;

        assert!(got.starts_with("HTTP/1.1 503") && got.contains("retry-after"), "{got}");
        assert!(!got.contains("proof"), "{got}");
    });
}

#[rstest]
fn no_answer_without_proof_becomes_a_promise(
    #[values("/once/", "/safe/", "/stream/")] path: &str,
    #[values(false, true)] reused: bool,
) {
    run_local(async {
        for answer in Answer::all() {
            let got = call(answer, path, reused).await;

            let promises = PROMISES.contains(&status(&got));
            assert_eq!(promises, answer.proves_not_run(reused), "{answer:?} {path} {got}");
            let is_own = status(&got) == answer.status;
            assert!(is_own || !got.contains("proof"), "{answer:?} {path} {got}");
        }
    });
}

#[rstest]
fn promise_is_told_only_if_no_upstream_took_the_request(
    #[values(408, 429, 500, 503)] first: u16,
    #[values("/safe/", "/stream/")] path: &str,
) {
    run_local(async {
        let refusal = Answer { mark: MARK, proof: "", ..Answer::error(503) };
        let actions = [Answer::error(first), refusal].map(|answer| Action::Send(answer.bytes()));
        let upstreams = [
            Server::start("u", actions.to_vec()).await,
            Server::start("v", actions.to_vec()).await,
        ];
        let fixture = Fixture::start(&[&upstreams[0], &upstreams[1]]);
        // Both give the error once, so that some request meets it before a refusal.
        for _ in 0..4 {
            let before: usize = upstreams.iter().map(Server::request_count).sum();
            let got = fixture.call(path, "2").await;
            let after: usize = upstreams.iter().map(Server::request_count).sum();

            let took = (before..after).any(|number| number < 2);
            assert!(!took || !PROMISES.contains(&status(&got)), "{got}");
        }
    });
}

#[rstest]
#[case::nothing("")]
#[case::status("HTTP/1.1 503 X\r\n")]
#[case::marked_head("HTTP/1.1 503 X\r\nid: 2\r\nnot-run: 1\r\n")]
#[case::head("HTTP/1.1 200 X\r\nid: 2\r\nproof: p\r\ncontent-length: 4\r\n")]
#[case::refused_body("HTTP/1.1 503 X\r\nid: 2\r\nproof: p\r\ncontent-length: 4\r\n\r\nbo")]
#[case::chunk(
    "HTTP/1.1 503 X\r\nid: 2\r\nproof: p\r\ntransfer-encoding: chunked\r\n\r\n2\r\nbo\r\n"
)]
#[case::unframed("HTTP/1.1 503 X\r\nid: 2\r\nproof: p\r\n\r\nbo")]
#[case::interim("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 503 X\r\nid: 2\r\nproof: p\r\n")]
fn end_of_an_upstream_that_took_a_request_promises_nothing(
    #[case] sent: &str,
    #[values(Action::SendAndReset, Action::SendAndClose, Action::Send)] end: fn(String) -> Action,
    #[values("/once/", "/safe/", "/stream/")] path: &str,
    #[values(false, true)] reused: bool,
) {
    run_local(async {
        let first = reused.then(|| Action::Send(ok_response("1", "first")));
        let actions = first.into_iter().chain([end(sent.into())]).collect();
        let upstream = Server::start("u", actions).await;
        let fixture = Fixture::start(&[&upstream]);
        fixture.entry.apply_config(short_config(), "test");
        if reused {
            fixture.call(path, "1").await;
        }

        let got = fixture.call(path, "2").await;

        let failed = got.starts_with("HTTP/1.1 502") || got.starts_with("HTTP/1.1 504");
        assert!(failed && !got.contains("proof"), "{got}");
    });
}

/// A configuration whose routes have short timeouts.
fn short_config() -> Config {
    let short =
        |prefix, kind| Route { timeout: agateflow::unit::Millis::new(300), ..route(prefix, kind) };
    let routes = vec![
        short("/safe/", Kind::Idempotent),
        Route { attempts: 1, ..short("/once/", Kind::Once) },
        short("/stream/", Kind::ResumableStream),
    ];
    Config { routes, ..config(2) }
}

#[rstest]
fn upstream_that_restarts_with_a_request_in_progress_promises_nothing(
    #[values("/once/", "/safe/")] path: &str,
) {
    run_local(async {
        let upstream = directenv::CrashingServer::start("u", "deadly", Duration::from_millis(50));
        let upstream = upstream.await;
        let fixture = Fixture::start(&[&upstream.server]);
        fixture.entry.apply_config(short_config(), "test");
        fixture.call(path, "1").await;
        let mut caller = fixture.connect().await;
        let request = get(&format!("{path}deadly"), "2");
        caller.write_all(request.as_bytes()).await.unwrap();

        let got = read_all(&mut caller).await;
        time::sleep(Duration::from_millis(100)).await;

        assert!(upstream.crashes.get() > 0);
        assert!(!PROMISES.contains(&status(&got)), "{got}");
    });
}
