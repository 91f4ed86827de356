//! How the memory limit of a process is divided between its connections and the budgets of its peers' messages.

use super::MemoryBudget;

/// Memory of one connection without a message, in bytes: the buffers of the HTTP library and the state of its task.
pub const CONNECTION_BYTES: usize = 16 * 1024;
/// Part of the limit that the buffers of connections may fill, in sixteenths.
const CONNECTION_SIXTEENTHS: usize = 7;
/// Part of the limit that is the budget of requests, in sixteenths.
const REQUEST_SIXTEENTHS: usize = 2;
/// Part of the limit that is the budget of answers, in sixteenths. What then remains is for the program, the list of
/// log workers, the state of the decisions and the allocator's losses.
const ANSWER_SIXTEENTHS: usize = 2;
/// Parts of the connections that may belong to clients and to log workers, in sixteenths.
const CLIENT_SIXTEENTHS: usize = 9;
const WORKER_SIXTEENTHS: usize = 7;

/// The division of a memory limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Bytes for requests and jobs that peers send.
    pub request_bytes: usize,
    /// Bytes for answers on their way from log workers to clients.
    pub answer_bytes: usize,
    /// Connections that the limit allows.
    pub connections: ConnectionPlan,
}

/// The number of connections that a memory limit allows, however many descriptors there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionPlan {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to log workers.
    pub workers: usize,
}

impl MemoryPlan {
    /// Divides a limit in bytes between this process and others that share it, `processes` in all.
    pub fn new(limit_bytes: usize, processes: usize) -> Self {
        let sixteenth = limit_bytes / processes.max(1) / 16;
        let connections = sixteenth * CONNECTION_SIXTEENTHS / CONNECTION_BYTES;
        MemoryPlan {
            request_bytes: sixteenth * REQUEST_SIXTEENTHS,
            answer_bytes: sixteenth * ANSWER_SIXTEENTHS,
            connections: ConnectionPlan {
                clients: connections * CLIENT_SIXTEENTHS / 16,
                workers: connections * WORKER_SIXTEENTHS / 16,
            },
        }
    }
}

/// The budgets of all messages that a process holds for its peers. Clones share them.
#[derive(Clone)]
pub struct PeerMemory {
    /// Requests and jobs, from their first byte until they are answered.
    pub requests: MemoryBudget,
    /// Answers, from a log worker's first byte until the client has read them.
    pub answers: MemoryBudget,
    limit_bytes: usize,
}

impl PeerMemory {
    /// Budgets for a process whose memory limit is `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Self {
        let plan = MemoryPlan::new(limit_bytes, 1);
        let (requests, answers) =
            (MemoryBudget::new(plan.request_bytes), MemoryBudget::new(plan.answer_bytes));
        PeerMemory { requests, answers, limit_bytes }
    }

    /// Divides the limit between `processes` processes from now on; returns this one's part.
    pub fn share_between(&self, processes: usize) -> MemoryPlan {
        let plan = self.plan(processes);
        self.requests.set_capacity(plan.request_bytes);
        self.answers.set_capacity(plan.answer_bytes);
        plan
    }

    /// This process's part of the limit if `processes` processes share it.
    pub fn plan(&self, processes: usize) -> MemoryPlan {
        MemoryPlan::new(self.limit_bytes, processes)
    }
}
