//! The platform's client against the stand-in over HTTP.

use std::time::Duration;

use medlarspool_bench::StandInPlatform;
use medlarspool_platform::{
    FakeFaults, FakePlatform, HttpPlatform, Platform, PlatformError, RowCondition, RowWrite,
};

const TOKEN: &str = "platform-token";

fn start(fake: &FakePlatform) -> (StandInPlatform, HttpPlatform) {
    let listen = "127.0.0.1:0".parse().expect("address");
    let server = StandInPlatform::start(fake, listen, TOKEN).expect("stand-in");
    let client = HttpPlatform::new(server.address(), TOKEN, Duration::from_secs(5));
    (server, client)
}

fn insert(key: &str) -> RowWrite {
    RowWrite {
        condition: RowCondition::Absent,
        key: key.into(),
        value: Some(format!("value of {key}")),
    }
}

#[test]
fn objects_and_rows_survive_http() {
    let (_server, client) = start(&FakePlatform::default());
    assert_eq!(client.object("lists/1"), Ok(None));
    client.put_object("lists/1", b"content").expect("object");
    assert_eq!(client.object("lists/1"), Ok(Some(b"content".to_vec())));
    client
        .transact(&[insert("a/1"), insert("a/2"), insert("b/1")])
        .expect("rows");
    let row = client.row("a/2").expect("read").expect("row");
    assert_eq!(row.value, "value of a/2");
    assert_eq!(client.rows("a/", 10).expect("rows").len(), 2);
    let conflict = PlatformError::Conflict { key: "a/2".into() };
    let both = [insert("a/3"), insert("a/2")];
    assert_eq!(client.transact(&both), Err(conflict));
    assert_eq!(client.row("a/3"), Ok(None));
}

#[test]
fn faults_reach_the_client() {
    let fake = FakePlatform::default();
    let (_server, client) = start(&fake);
    fake.set_faults(FakeFaults {
        lost_answers: 1,
        ..FakeFaults::default()
    });
    let lost = client.transact(&[insert("a")]);
    assert!(matches!(lost, Err(PlatformError::OutcomeUnknown(_))));
    assert!(client.row("a").expect("read").is_some());
    fake.set_faults(FakeFaults {
        down: true,
        ..FakeFaults::default()
    });
    let down = client.transact(&[insert("b")]);
    assert!(matches!(down, Err(PlatformError::Unavailable(_))));
}
