//! Model of a log worker: execution slots, a bounded queue, cores shared by running jobs, slow start and an LRU
//! cache of archives. It holds no events and no network; the caller advances it to a time.

use std::collections::VecDeque;

use rookspoke_decisions::{Span, Time};

/// Fixed properties of a log worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerSpec {
    /// Number of cores; may be fractional.
    pub cores: f64,
    /// Slots that running jobs can occupy in total.
    pub slots: f64,
    /// Maximum number of queued jobs.
    pub queue: usize,
    /// How the next queued job is selected.
    pub order: QueueOrder,
    /// Speed of a core relative to a reference core, which has 1.
    pub speed: f64,
    /// Fraction of the speed lost for each slot in use beyond the number of cores.
    pub contention: f64,
    /// Fraction of full speed right after a process start.
    pub initial_capacity: f64,
    /// Duration of slow start, over which the speed grows linearly to the full one.
    pub ramp: Span,
    /// Maximum number of cached archives; the least recently used one is evicted.
    pub archives: usize,
}

/// Selects the next queued job to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOrder {
    /// The head of the queue; the others wait until it fits into the free slots.
    Fifo,
    /// The earliest job that fits into the free slots.
    Backfill,
    /// The job of the highest worth that fits; the earliest among equals.
    Priority,
}

/// A job as the log worker receives it.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Index of the call attempt that delivered it.
    pub attempt: usize,
    /// Slots that it occupies while running.
    pub slots: f64,
    /// Running time at speed 1, in seconds.
    pub work: f64,
    /// Key of the archive that it needs.
    pub key: u64,
    /// Value of the request, used by [`QueueOrder::Priority`].
    pub worth: f64,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    job: Job,
    /// Remaining running time at speed 1, in seconds.
    remaining: f64,
    /// Occupies its slots but makes no progress until its archive arrives.
    fetching: bool,
}

/// The first phase of a job that was just started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartPhase {
    /// The archive is cached, so the job runs at once.
    Running,
    /// The archive has to be fetched before the job runs.
    Fetching,
}

/// State of a log worker: its process and the machine that it runs on.
#[derive(Clone, Debug)]
pub struct Worker {
    spec: WorkerSpec,
    /// Last start of the process; `None` if it was long enough ago for slow start to be over.
    pub started: Option<Time>,
    /// Divisor of the speed; 1 when the machine is healthy.
    pub slowdown: f64,
    /// Fraction of the machine's CPU time used by another program.
    pub cpu_steal: f64,
    /// The process is suspended: no job runs or starts.
    pub paused: bool,
    waiting: VecDeque<Job>,
    running: Vec<Running>,
    slots_in_use: f64,
    /// Keys of cached archives, least recently used first.
    archives: Vec<u64>,
    /// Outstanding work other than jobs (probes, new connections), in core-seconds. It runs before any job.
    overhead: f64,
    updated_at: Time,
    /// Core-seconds spent on jobs so far.
    pub core_seconds: f64,
}

impl Worker {
    /// Creates an idle log worker that is past slow start.
    pub fn new(spec: WorkerSpec) -> Self {
        Worker {
            spec,
            started: None,
            slowdown: 1.0,
            cpu_steal: 0.0,
            paused: false,
            waiting: VecDeque::new(),
            running: Vec::new(),
            slots_in_use: 0.0,
            archives: Vec::new(),
            overhead: 0.0,
            updated_at: Time(0),
            core_seconds: 0.0,
        }
    }

    /// Fraction of full speed that slow start allows now: from the initial capacity linearly to 1.
    pub fn ramp_factor(&self, now: Time) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let elapsed = (now - started).secs() / self.spec.ramp.secs().max(1e-9);
        self.spec.initial_capacity + (1.0 - self.spec.initial_capacity) * elapsed.clamp(0.0, 1.0)
    }

    /// Whether the process started less than the ramp time ago.
    pub fn in_slow_start(&self, now: Time) -> bool {
        self.started.is_some_and(|started| now - started < self.spec.ramp)
    }

    /// Work that it completes in a second at present, in core-seconds.
    pub fn capacity(&self, now: Time) -> f64 {
        self.spec.cores.min(self.spec.slots) * self.core_speed(now)
    }

    /// Work that it would complete in a second without a pause, slowdown or CPU steal, in core-seconds. Slow start
    /// still applies. The overload rule is defined by this capacity.
    pub fn nominal_capacity(&self, now: Time) -> f64 {
        self.spec.cores.min(self.spec.slots) * self.spec.speed * self.ramp_factor(now)
    }

    /// Present speed of one core, with slow start and faults applied.
    fn core_speed(&self, now: Time) -> f64 {
        match self.paused {
            true => 0.0,
            false => self.spec.speed * self.ramp_factor(now) * (1.0 - self.cpu_steal) / self.slowdown,
        }
    }

    /// Present speed of each running job. Cores are shared evenly among the occupied slots, except those of jobs that
    /// wait for an archive; contention counts all of them and costs 90 % of the speed at most.
    fn job_speed(&self, now: Time) -> f64 {
        let busy: f64 = self.running.iter().filter(|r| !r.fetching).map(|r| r.job.slots).sum();
        let share = if busy > self.spec.cores { self.spec.cores / busy } else { 1.0 };
        let contended =
            (1.0 - self.spec.contention * (self.slots_in_use - self.spec.cores).max(0.0)).max(0.1);
        self.core_speed(now) * share * contended
    }

    /// Advances all jobs to `now`. The speed is that of the previous update, so steps have to be short while the
    /// worker is in slow start.
    pub fn advance(&mut self, now: Time) {
        let mut elapsed = (now - self.updated_at).secs();
        let speed = self.job_speed(self.updated_at);
        let core_rate = self.spec.cores * self.core_speed(self.updated_at);
        if self.overhead > 0.0 && core_rate > 0.0 {
            let completed = self.overhead.min(core_rate * elapsed);
            self.overhead -= completed;
            elapsed -= completed / core_rate;
        }
        self.updated_at = now;
        for running in self.running.iter_mut().filter(|r| !r.fetching) {
            let done = (speed * elapsed).min(running.remaining);
            running.remaining -= done;
            self.core_seconds += done * running.job.slots;
        }
    }

    /// Time at which the next job completes if the speed stays as it is.
    pub fn next_completion(&self, now: Time) -> Option<Time> {
        let speed = self.job_speed(now);
        let shortest =
            self.running.iter().filter(|r| !r.fetching).map(|r| r.remaining).fold(f64::INFINITY, f64::min);
        if speed <= 0.0 || !shortest.is_finite() {
            return None;
        }
        let overhead = self.overhead / (self.spec.cores * self.core_speed(now)).max(1e-9);
        Some(now + Span(((shortest / speed + overhead) * 1e6).ceil() as i64))
    }

    /// Queues a job. Returns false if the job is rejected: it needs more slots than the worker has, or the queue is
    /// full. With a queue of length 0, a job that fits into the free slots is accepted.
    pub fn enqueue(&mut self, job: Job) -> bool {
        let never_fits = job.slots > self.spec.slots;
        let has_capacity =
            self.waiting.len() < self.spec.queue || (self.waiting.is_empty() && self.fits(&job));
        if never_fits || !has_capacity {
            return false;
        }
        self.waiting.push_back(job);
        true
    }

    fn fits(&self, job: &Job) -> bool {
        self.slots_in_use + job.slots <= self.spec.slots
    }

    /// Starts the next queued job that the queue order and the free slots admit.
    pub fn start_next(&mut self) -> Option<(Job, StartPhase)> {
        if self.paused {
            return None;
        }
        let fits = |job: &Job| self.fits(job);
        let index = match self.spec.order {
            QueueOrder::Fifo => self.waiting.front().filter(|job| fits(job)).map(|_| 0),
            QueueOrder::Backfill => self.waiting.iter().position(fits),
            QueueOrder::Priority => {
                let fitting = self.waiting.iter().enumerate().filter(|(_, job)| fits(job));
                // The earliest of those with the highest worth.
                fitting.min_by(|a, b| b.1.worth.total_cmp(&a.1.worth).then(a.0.cmp(&b.0))).map(|best| best.0)
            }
        };
        let job = self.waiting.remove(index?)?;
        let fetching = !self.use_archive(job.key);
        self.slots_in_use += job.slots;
        self.running.push(Running { job, remaining: job.work, fetching });
        Some((job, if fetching { StartPhase::Fetching } else { StartPhase::Running }))
    }

    /// Marks an archive as most recently used. Returns false if it is not cached.
    fn use_archive(&mut self, key: u64) -> bool {
        let Some(index) = self.archives.iter().position(|cached| *cached == key) else { return false };
        self.archives.remove(index);
        self.archives.push(key);
        true
    }

    /// Completes the archive fetch of an attempt's job, which runs from now on. The least recently used archive is
    /// evicted if the cache is full.
    pub fn archive_fetched(&mut self, attempt: usize) {
        let Some(running) = self.running.iter_mut().find(|r| r.job.attempt == attempt) else { return };
        running.fetching = false;
        let key = running.job.key;
        if !self.use_archive(key) {
            self.archives.push(key);
            if self.archives.len() > self.spec.archives {
                self.archives.remove(0);
            }
        }
    }

    /// Removes and returns the completed jobs.
    pub fn take_completed(&mut self) -> Vec<Job> {
        let (done, unfinished): (Vec<Running>, Vec<Running>) =
            self.running.drain(..).partition(|r| !r.fetching && r.remaining <= 1e-9);
        self.running = unfinished;
        self.slots_in_use -= done.iter().map(|r| r.job.slots).sum::<f64>();
        done.into_iter().map(|r| r.job).collect()
    }

    /// Removes the job of an attempt: a queued one always, a running one only if `running` is set. Returns whether a
    /// job was removed.
    pub fn remove_job(&mut self, attempt: usize, running: bool) -> bool {
        if let Some(index) = self.waiting.iter().position(|job| job.attempt == attempt) {
            self.waiting.remove(index);
            return true;
        }
        let index = self.running.iter().position(|r| r.job.attempt == attempt && running);
        let Some(index) = index else { return false };
        self.slots_in_use -= self.running.remove(index).job.slots;
        true
    }

    /// Empties the queue and returns its jobs, which have not started.
    pub fn take_waiting(&mut self) -> Vec<Job> {
        self.waiting.drain(..).collect()
    }

    /// Ends the process: its archives and overhead are dropped. Returns the queued and running jobs, which are lost.
    pub fn terminate(&mut self) -> Vec<Job> {
        let all = self.waiting.drain(..).chain(self.running.drain(..).map(|r| r.job)).collect();
        (self.slots_in_use, self.overhead) = (0.0, 0.0);
        self.archives.clear();
        all
    }

    /// Adds work other than a job, such as a probe or a new connection, in core-seconds.
    pub fn add_overhead(&mut self, work: f64) {
        self.overhead += work;
    }

    /// Slots that no running job occupies.
    pub fn free_slots(&self) -> f64 {
        self.spec.slots - self.slots_in_use
    }

    /// Fraction of the cores in use, from 0 to 1.
    pub fn utilization(&self) -> f64 {
        let busy: f64 = self.running.iter().filter(|r| !r.fetching).map(|r| r.job.slots).sum();
        (busy / self.spec.cores).min(1.0)
    }

    /// Number of queued jobs.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Queued and remaining work, as the seconds until idle if all cores were always busy.
    pub fn backlog(&self, now: Time) -> f64 {
        let waiting: f64 = self.waiting.iter().map(|job| job.work * job.slots).sum();
        let running: f64 = self.running.iter().map(|r| r.remaining * r.job.slots).sum();
        (waiting + running) / self.capacity(now).max(1e-3)
    }

    /// Keys of the cached archives, least recently used first.
    pub fn archives(&self) -> &[u64] {
        &self.archives
    }

    /// Whether the archive of this key is cached.
    pub fn has_archive(&self, key: u64) -> bool {
        self.archives.contains(&key)
    }

    /// Whether no job is queued or running.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SPEC: WorkerSpec = WorkerSpec {
        cores: 2.0,
        slots: 4.0,
        queue: 3,
        order: QueueOrder::Fifo,
        speed: 1.0,
        contention: 0.0,
        initial_capacity: 0.25,
        ramp: Span(10_000_000),
        archives: 2,
    };

    fn job(attempt: usize, slots: f64, key: u64) -> Job {
        Job { attempt, slots, work: 1.0, key, worth: attempt as f64 }
    }

    fn at(secs: f64) -> Time {
        Time::from_ms(secs * 1000.0)
    }

    /// A log worker that has queued the jobs and started those that fit, with their archives already fetched.
    fn running(spec: WorkerSpec, jobs: &[Job]) -> Worker {
        let mut worker = Worker::new(spec);
        for job in jobs {
            assert!(worker.enqueue(*job));
            while let Some((job, _)) = worker.start_next() {
                worker.archive_fetched(job.attempt);
            }
        }
        worker
    }

    #[test]
    fn jobs_that_need_more_than_the_cores_share_them() {
        let alone = running(SPEC, &[job(0, 1.0, 1), job(1, 1.0, 1)]);
        assert_eq!(alone.next_completion(at(0.0)), Some(at(1.0)));
        let shared = running(SPEC, &[job(0, 2.0, 1), job(1, 2.0, 1)]);
        assert_eq!(shared.next_completion(at(0.0)), Some(at(2.0)));
    }

    #[test]
    fn fifo_blocks_on_the_head_of_the_queue_and_backfill_overtakes_it() {
        let jobs = [job(0, 3.0, 1), job(1, 2.0, 1), job(2, 1.0, 1)];
        let mut fifo = running(SPEC, &jobs);
        assert_eq!((fifo.queued(), fifo.free_slots()), (2, 1.0));
        fifo.advance(at(10.0));
        assert_eq!(fifo.take_completed().len(), 1);
        let backfill = running(WorkerSpec { order: QueueOrder::Backfill, ..SPEC }, &jobs);
        assert_eq!((backfill.queued(), backfill.free_slots()), (1, 0.0));
    }

    #[test]
    fn priority_starts_the_job_of_the_highest_worth_that_fits() {
        let mut worker = running(WorkerSpec { order: QueueOrder::Priority, ..SPEC }, &[job(0, 4.0, 1)]);
        for n in 1..4 {
            assert!(worker.enqueue(job(n, 2.0, 1)));
        }
        assert!(!worker.enqueue(job(4, 1.0, 1)), "the queue is full");
        worker.advance(at(10.0));
        worker.take_completed();
        assert_eq!(worker.start_next().map(|(job, _)| job.attempt), Some(3));
    }

    #[test]
    fn slow_start_ramps_linearly_and_a_pause_stops_the_worker() {
        let mut worker = Worker::new(SPEC);
        worker.started = Some(at(0.0));
        assert_eq!(worker.ramp_factor(at(0.0)), 0.25);
        assert_eq!(worker.ramp_factor(at(5.0)), 0.625);
        assert_eq!(worker.ramp_factor(at(20.0)), 1.0);
        worker.paused = true;
        assert_eq!(worker.capacity(at(20.0)), 0.0);
        assert!(worker.enqueue(job(0, 1.0, 1)));
        assert!(worker.start_next().is_none());
    }

    #[test]
    fn the_least_recently_used_archive_is_evicted() {
        let mut worker = running(SPEC, &[job(0, 1.0, 1), job(1, 1.0, 2), job(2, 1.0, 1)]);
        worker.enqueue(job(3, 1.0, 3));
        let (_, begins) = worker.start_next().expect("a slot is free");
        assert_eq!(begins, StartPhase::Fetching);
        worker.archive_fetched(3);
        assert_eq!(
            (worker.has_archive(1), worker.has_archive(2), worker.has_archive(3)),
            (true, false, true)
        );
    }

    #[test]
    fn overhead_delays_jobs() {
        let mut worker = running(SPEC, &[job(0, 1.0, 1)]);
        worker.add_overhead(1.0);
        assert_eq!(worker.next_completion(at(0.0)), Some(at(1.5)));
        worker.advance(at(1.5));
        assert_eq!(worker.take_completed().len(), 1);
    }

    proptest::proptest! {
        /// Checks the slot accounting over arbitrary sequences of calls.
        #[test]
        fn slots_in_use_equal_those_of_running_jobs(steps in proptest::collection::vec((0u8..5, 0usize..12), 1..80)) {
            let mut worker = Worker::new(SPEC);
            for (n, (operation, attempt)) in steps.into_iter().enumerate() {
                let now = at(n as f64 * 0.3);
                worker.advance(now);
                match operation {
                    0 => drop(worker.enqueue(job(attempt, (1 + attempt % 4) as f64, attempt as u64 % 3))),
                    1 => drop(worker.start_next()),
                    2 => worker.archive_fetched(attempt),
                    3 => drop(worker.remove_job(attempt, true)),
                    _ => drop(worker.take_completed()),
                }
                let used: f64 = worker.running.iter().map(|r| r.job.slots).sum();
                proptest::prop_assert_eq!(used, worker.slots_in_use);
                proptest::prop_assert!(worker.slots_in_use <= SPEC.slots && worker.waiting.len() <= SPEC.queue);
            }
        }
    }
}
