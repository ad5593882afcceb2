use std::{convert::Infallible, future::Future, sync::Arc, task};

use prost::Message;
use tonic::{
    Request, Response, Status,
    body::Body,
    codegen::{BoxFuture, Service, http},
    server::{Grpc, NamedService, UnaryService},
};
use tonic_prost::ProstCodec;

use crate::{ChannelRequest, FleetKey, MAX_MESSAGE_BYTES, PeerHandler};

/// The header that carries the fleet's token.
pub(crate) const TOKEN_HEADER: &str = "medlarspool-fleet-token";

/// The gRPC service's name, with which each method's path starts.
pub(crate) const SERVICE_NAME: &str = "medlarspool.Peer";

/// Serves a [`PeerHandler`] to the daemons that have the fleet's key.
pub struct PeerServer<H> {
    handler: Arc<H>,
    key: FleetKey,
}

impl<H: PeerHandler> PeerServer<H> {
    /// Returns a server that passes requests to `handler` if they carry the token of `key`.
    #[must_use]
    pub fn new(handler: Arc<H>, key: FleetKey) -> Self {
        Self { handler, key }
    }

    fn is_authorised(&self, request: &http::Request<Body>) -> bool {
        request
            .headers()
            .get(TOKEN_HEADER)
            .is_some_and(|token| self.key.accepts(token.as_bytes()))
    }
}

impl<H> Clone for PeerServer<H> {
    fn clone(&self) -> Self {
        Self {
            handler: Arc::clone(&self.handler),
            key: self.key.clone(),
        }
    }
}

impl<H> NamedService for PeerServer<H> {
    const NAME: &'static str = SERVICE_NAME;
}

impl<H: PeerHandler> Service<http::Request<Body>> for PeerServer<H> {
    type Error = Infallible;
    type Future = BoxFuture<Self::Response, Self::Error>;
    type Response = http::Response<Body>;

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        if !self.is_authorised(&request) {
            let status = Status::unauthenticated("the fleet's token is missing or wrong");
            return Box::pin(async move { Ok(status.into_http()) });
        }
        let handler = Arc::clone(&self.handler);
        match request.uri().path() {
            "/medlarspool.Peer/Call" => serve_unary(request, move |message| {
                let handler = Arc::clone(&handler);
                async move { handler.call(message).await }
            }),
            "/medlarspool.Peer/Crash" => serve_unary(request, move |message| {
                let handler = Arc::clone(&handler);
                async move { handler.crash(message).await }
            }),
            "/medlarspool.Peer/Fate" => serve_unary(request, move |message| {
                let handler = Arc::clone(&handler);
                async move { handler.fate(message).await }
            }),
            "/medlarspool.Peer/Open" => serve_unary(request, move |_: ChannelRequest| {
                let handler = Arc::clone(&handler);
                async move { handler.open().await }
            }),
            "/medlarspool.Peer/Transfer" => serve_unary(request, move |message| {
                let handler = Arc::clone(&handler);
                async move { handler.transfer(message).await }
            }),
            _ => Box::pin(async { Ok(Status::unimplemented("no such method").into_http()) }),
        }
    }

    fn poll_ready(&mut self, _: &mut task::Context<'_>) -> task::Poll<Result<(), Self::Error>> {
        task::Poll::Ready(Ok(()))
    }
}

/// Adapts an async function to tonic's [`UnaryService`].
struct Method<F>(F);

impl<F, Fut, In, Out> UnaryService<In> for Method<F>
where
    F: FnMut(In) -> Fut,
    Fut: Future<Output = Out> + Send + 'static,
{
    type Future = BoxFuture<Response<Out>, Status>;
    type Response = Out;

    fn call(&mut self, request: Request<In>) -> Self::Future {
        let reply = (self.0)(request.into_inner());
        Box::pin(async move { Ok(Response::new(reply.await)) })
    }
}

/// Decodes a unary request, passes it to `function` and encodes its reply.
fn serve_unary<F, Fut, In, Out>(
    request: http::Request<Body>,
    function: F,
) -> BoxFuture<http::Response<Body>, Infallible>
where
    F: FnMut(In) -> Fut + Send + 'static,
    Fut: Future<Output = Out> + Send + 'static,
    In: Default + Message + 'static,
    Out: Message + 'static,
{
    Box::pin(async move {
        let codec = ProstCodec::<Out, In>::default();
        let mut grpc = Grpc::new(codec)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        Ok(grpc.unary(Method(function), request).await)
    })
}
