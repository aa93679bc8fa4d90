//! Submission of requests, and what may follow: the request's body is completed, or its client disconnects.
use super::DriverHandle;
use crate::body::request_body::RequestBody;
use crate::body::upload::UploadObserver;
use crate::control::driver_state::requests::NewRequest;
use crate::outbound::message::{FinalResponse, OutboundRequest, SubmitError};
use balancer_core::{Event, Request, RequestId};
use tokio::sync::oneshot;

/// A request that waits for its final response. Dropping it reports that the client has disconnected.
pub struct ResponseFuture {
    driver: DriverHandle,
    id: RequestId,
    response: oneshot::Receiver<FinalResponse>,
    has_response: bool,
}

impl ResponseFuture {
    /// Waits for the final response.
    pub async fn response(mut self) -> FinalResponse {
        let response = (&mut self.response).await.unwrap_or(FinalResponse::Failed);
        self.has_response = true;
        response
    }
}

impl Drop for ResponseFuture {
    fn drop(&mut self) {
        if !self.has_response {
            self.driver.client_disconnected(self.id);
        }
    }
}

/// Reports the progress of a request's streamed body to the driver.
struct UploadReporter {
    driver: DriverHandle,
    id: RequestId,
}

impl UploadObserver for UploadReporter {
    fn completed(&self) {
        self.driver.request_body_complete(self.id);
    }

    fn buffer_released(&self) {
        self.driver.handle_event(Event::BodyDiscarded(self.id));
    }
}

impl DriverHandle {
    /// Submits a request of a class and tenant, given by their positions in the settings. The request receives at most
    /// one final response: none if its client disconnects first.
    pub fn submit(
        &self,
        class: usize,
        tenant: usize,
        request: OutboundRequest,
    ) -> Result<ResponseFuture, SubmitError> {
        let submitted = self.0.state.borrow_mut().submit(NewRequest {
            class,
            tenant,
            request,
        })?;
        let id = submitted.id;
        if let RequestBody::Streamed(upload) = &submitted.request.body {
            upload.observe(Box::new(UploadReporter {
                driver: self.clone(),
                id,
            }));
        }
        self.handle_event(Event::Request(Request {
            id,
            class,
            tenant,
            deadline: submitted.deadline,
        }));
        Ok(ResponseFuture {
            driver: self.clone(),
            id,
            response: submitted.response,
            has_response: false,
        })
    }

    /// The body of a submitted request is complete.
    fn request_body_complete(&self, request: RequestId) {
        let deadline = self.0.state.borrow_mut().request_body_complete(request);
        let Some(deadline) = deadline else {
            return;
        };
        self.0.timers_changed.notify_one();
        self.handle_event(Event::RequestBodyComplete { request, deadline });
    }

    /// The client of a request that waits for its response has disconnected.
    fn client_disconnected(&self, id: RequestId) {
        let was_waiting = self.0.state.borrow_mut().client_disconnected(id);
        if was_waiting {
            self.handle_event(Event::ClientDisconnected(id));
        }
    }
}
