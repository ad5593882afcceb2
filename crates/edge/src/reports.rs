use std::{net::SocketAddr, rc::Rc};

use medlarspool_hop::{PeerMessage, Report};
use stakker::CX;
use tokio::net::UdpSocket;

use crate::{app::App, contain::contain, node::Node};

/// Receives and handles other daemons' reports, questions and answers.
pub(crate) async fn receive_reports(app: Rc<App>, socket: Rc<UdpSocket>) {
    // Longer datagrams are cut off.
    let mut buffer = vec![0; Report::MAX_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match PeerMessage::decode(&buffer[..length]) {
                Ok(message) => {
                    // A message that causes a panic must not stop those of others.
                    contain(|| {
                        app.core
                            .with(|node, cx| handle_message(node, cx, from, message));
                    });
                }
                Err(error) => {
                    log::warn!(event = "report-invalid", from = from.to_string().as_str(), error = error.to_string().as_str(); "");
                }
            },
            Err(error) => {
                log::debug!(event = "report-unread", error = error.to_string().as_str(); "");
            }
        }
    }
}

fn handle_message(node: &mut Node, cx: CX![Node], from: SocketAddr, message: PeerMessage) {
    match message {
        PeerMessage::ConfirmationAnswer(answer) => node.receive_answer(from, &answer),
        PeerMessage::ConfirmationQuestion(question) => node.answer_question(from, question),
        PeerMessage::Quota(message) => node.handle_quota_message(cx.now(), from, message),
        PeerMessage::Report(report) => node.handle_report(cx, *report),
    }
}
