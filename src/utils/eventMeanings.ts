import { EventId } from "../types/eventId";

/** Meaning of each event, for the event catalogue. */
export const eventMeanings: Readonly<Record<EventId, string>> = {
    [EventId.NodeStarted]: "the node is listening; `startMs` says when each step of the start was complete, in ms since the process began",
    [EventId.NodeReady]: "a configuration is in force and the fleet is known",
    [EventId.NodeStopping]: "a graceful shutdown started",
    [EventId.NodeStopped]:
        "the node stopped without cutting off requests; `backlog` says how many connections it accepted before it closed its listener, whether none was left to accept, and whether new ones were kept out at last (`isLimited`)",
    [EventId.NodeCutOff]: "the node stopped and cut off requests in progress",
    [EventId.SettingsRefused]: "settings are missing or invalid",
    [EventId.SettingsReloaded]: "the settings file was reloaded; settings that can change without a restart are in force",
    [EventId.ReadinessChanged]: "the readiness that the node reports to the load balancer changed",
    [EventId.LinesDropped]: "log lines were dropped because of the rate limit or a slow reader of the log",
    [EventId.NodeStartFailed]: "the node could not start for a reason that lasts as long as the process, such as a port that it may not use; the process exits",
    [EventId.UnexpectedError]:
        "an error that no handler caught; the process goes on. Of errors that repeat at one place a few are logged, with the number of those `suppressed` before",
    [EventId.IdleConnectionsClosed]: "connections of callers without a request were closed, because the descriptors of the process are short",
    [EventId.NodeUnableToServe]:
        "the node can no longer serve, as by a listener that is lost and cannot be opened again; it finishes accepted requests and ends with an error",
    [EventId.NodeStartRetried]:
        "the node waits for what it cannot start or go on without (`waitsFor`): a settings file without faults, or ports; logged when a wait begins, when its `reason` changes, and every 10 s with `waitedMs`",
    [EventId.WaitPassed]: "what the node waited for (117) has come after `waitedMs`",
    [EventId.MetricsUnserved]: "the port for metrics cannot be used while this process lives; the node serves its callers without metrics",
    [EventId.ListenerLost]:
        "a listener was closed and is opened again; `detail` is the error of a try that cannot succeed, and three of them in a row end the node (116)",
    [EventId.SignalBeforeStart]:
        "a signal arrived before the node had started; `step` is the last complete step of the start, `effect` what the signal brings about",
    [EventId.SignalIgnored]: "a signal arrived that asks nothing of the node; its default action would have ended the process",
    [EventId.HeapNearLimit]:
        "the JavaScript heap is near its limit, at which the runtime ends the process without a line: its size, the limit, and what callers and upstreams hold, by holder",
    [EventId.ConnectionsCut]:
        "connections of callers were closed with requests unanswered: more than 100 were sent ahead on one, or more than the memory has room for (counted each second)",
    [EventId.HeadsGivenUp]:
        "connections of callers were closed, with 503 where no other request was on them: heads or trailers that have not been read to their end hold more than their part of the memory (counted each second)",
    [EventId.PortConnectionsClosed]:
        "connections to a port that is not for callers were closed, by reason: unfinished heads or bodies hold too much, a request before the answer to another one, or too many connections (counted each second)",
    [EventId.EventLoopDelayed]:
        "a timer fired `lateMs` late, as a turn of the event loop took that long: with the parts and bytes of answers' bodies that arrived meanwhile (`answerParts`, `answerBytes`), and the heap",
    [EventId.ResidentSizeUnknown]: "the resident size of the process cannot be read; only counted bytes limit what callers and upstreams may use",
    [EventId.ProgramLoaded]:
        "the program was loaded; `codeCache` says whether its code cache was used, and if not, why: missing, unreadable, damaged, made from another program, for another runtime or processor, or rejected by V8; the program is compiled then, which takes longer",
    [EventId.ProgramUnusable]:
        "the file of the program cannot be loaded, such as one that is missing or differs from the one that was built; the process exits with code 6, and a build mends it",
    [EventId.ConfigAdvanced]: "a newer configuration is in force",
    [EventId.ConfigSourceFailed]: "the configuration could not be read from the table or a peer; the one in force stays",
    [EventId.ConfigUnreadableRecord]:
        "a configuration record cannot be read, for example because its schema version is newer; its last readable version stays in force",
    [EventId.ConfigFromSnapshot]: "the node started from the stored configuration snapshot because neither the table nor a peer answered",
    [EventId.RecordsCommitted]: "an operator's records were committed through this node",
    [EventId.SnapshotFailed]: "the configuration snapshot could not be stored",
    [EventId.KeyedRequestsRefused]:
        "the configuration is too old (`configAgeMs`) to know which API keys are valid, as neither the store nor a peer confirmed it: requests with a key are refused (445) and the node reports that it is not ready",
    [EventId.KeyedRequestsServed]: "the configuration is confirmed again, and requests with a key are served",
    [EventId.PeerExchangeFailed]: "a digest exchange or another call to a peer failed",
    [EventId.VmListFailed]: "the VM list could not be read; the last one read stays in use",
    [EventId.UpstreamLeaving]: "an upstream reported that it is leaving; it gets no new requests",
    [EventId.PeerRefused]: "a call with a wrong peer secret was refused",
    [EventId.StoreLost]: "the platform's store does not answer; the node continues with the last known state",
    [EventId.StoreRegained]: "the platform's store answers again; rows that are missing are kept for `graceMs`, which is 0 after a lost connection",
    [EventId.UpstreamChanged]: "an upstream was added to the directory, changed or removed from it",
    [EventId.UpstreamRowIgnored]: "a directory row was ignored because it does not describe a usable upstream; `reason` says why",
    [EventId.DirectoryRead]: "the whole directory was read",
    [EventId.StoreEraChanged]: "the store answered for the first time, or for the first time since it was restored from an older copy",
    [EventId.PeerEntryIgnored]: "an entry of the directory that a peer sent was ignored because it does not describe a usable upstream; `reason` says why",
    [EventId.UpstreamSaidLeaving]:
        "an upstream stated in an answer to this node, or to the one that told it, that it is leaving; this process gets no new requests",
    [EventId.UpstreamQuiet]: "an upstream answered 503 and asked for no requests of this node for a time; `request` names the request, `leftMs` the time left",
    [EventId.UpstreamBrittle]:
        "an upstream said that it is brittle: it fails if it rejects more than `maxRejectionsPerS` requests in a second for want of room; `origin` says who heard it, `ageMs` how long ago",
    [EventId.UpstreamBrittleEnded]:
        "answers of an upstream no longer say that it is brittle, or none has said so for long (`reason`), `afterMs` after the first one that did",
    [EventId.UpstreamHeaderIgnored]:
        "a header of an answer about its upstream's availability is not valid and was ignored; `count` is the number of them since the start",
    [EventId.UpstreamContactHeld]:
        "an upstream answered over a new connection: this node reaches upstreams over its own links, `afterMs` after the last change; `reason` says what showed it",
    [EventId.UpstreamContactDoubted]:
        "connections to several upstreams failed, or nothing arrives from any: upstreams are probed; with the ages of the last word and of the last new connection that worked",
    [EventId.UpstreamContactLost]: "no probe of several upstreams was answered: this node does not reach upstreams over its own links",
    [EventId.ContactProbeFailed]: "an upstream did not answer a probe of this node's path to the upstreams",
    [EventId.RequestRefused]: "a request was answered with a failure",
    [EventId.AttemptFailed]: "an attempt on an upstream failed; the request may be retried",
    [EventId.StreamResumed]: "a stream was resumed after the last event that the caller received, on the same or another runner",
    [EventId.AnswerDropped]: "an answer that belongs to another request was discarded",
    [EventId.ClaimReleaseFailed]: "a claim could not be released; retries are answered that the call may have run",
    [EventId.ClaimOutcomeLost]: "the outcome of a call could not be stored; retries are answered that the call may have run",
    [EventId.RequestSent]: "a request was sent to an upstream; `resumes` names the request that began the stream which a caller resumes",
    [EventId.RequestAnswered]: "a request was answered with an upstream's answer; `framing` says what marked its end",
    [EventId.RequestFailed]:
        "a request failed at `step` because of an internal error; it was answered with the verdict unless an answer had begun, which was cut",
    [EventId.LongTurn]: "a turn of the event loop took long while requests waited: the node is short of processor time, and learned late that callers had left",
    [EventId.CallerLeft]: "the caller closed the connection before its answer began; the attempt on the upstream was aborted",
    [EventId.RequestUnanswered]:
        "a request ended without a whole answer; `closer` is the caller, a failed write, this node or its exit; `handedBytes` of the answer were given to the connection, `unwrittenBytes` of them still wait",
    [EventId.PromptQuarantined]:
        "crashes of runners, at this node or others, are explained by parts of prompts or by a request; requests with all of the parts or keys are refused",
    [EventId.PromptQuarantineEnded]:
        "a quarantine of prompt parts or of a request ended: answered elsewhere without a crash, expired, or replaced by a more precise one",
    [EventId.PromptTried]: "a request is sent in spite of a quarantine, to find out whether runners still crash on it",
    [EventId.RunnerLimitChanged]: "a runner named another limit on its requests, or none any more, to this node or another one",
    [EventId.PermitDenied]:
        "a request got no turn in time at a runner that has named a limit, or no place at a brittle one; it goes to another runner, waits or is refused",
    [EventId.PlaceAwaited]:
        "all upstreams that could run a request are brittle and have no room; it waits for a place (`isWaiting`) or is refused; `upstream` has room first, in `waitMs`",
    [EventId.AnswerEndChecked]:
        "an answer without a length or chunks ended with its connection, and its upstream was asked for a connection: if it has ended, the answer was cut off",
    [EventId.StreamTakenUp]:
        "a caller takes a stream up: the software version that began it, how that is known and the age of the records, or why it cannot be known",
    [EventId.StreamRecordFailed]: "the software version of streams could not be recorded; they begin at the base version of their service or are refused",
    [EventId.BaseVersionChanged]: "this node wrote the base version of a service: streams without a record were begun by it",
    [EventId.BaseVersionUnknown]: "several versions of a service serve and the store cannot say which is the base version; the one named is assumed",
    [EventId.StreamRecordsUnread]: "the records of streams could not be read or maintained; that is tried again",
    [EventId.SendWithheld]:
        "a request was not sent to the upstream chosen for it: it was no longer available when its connection was open; another one is chosen",
    [EventId.QuietDecided]:
        "all upstreams that could run a request asked for quiet; it waits (`isWaiting`) or is refused; `upstream` takes requests again first, in `quietMs`",
    [EventId.AttemptStepFailed]: "an internal error at `step` ended an attempt; the request may be retried",
    [EventId.CallerWriteFailed]: "an answer could not be written to its caller",
    [EventId.ConnectionStale]: "a kept connection had ended before the request was sent over it; the request is sent over a new one",
    [EventId.RequestPassedOn]:
        "a caller's request is sent to a peer, as this node does not reach the upstreams: `contact` is what it believes of its links, `after` the outcome of the attempt before",
    [EventId.RelayEnded]:
        "an attempt through a peer ended; `reason` says why the peer did not take the request or how its answer ended; `sends` and `runs` are the peer's",
    [EventId.RequestTakenOver]: "a peer passed its caller's request on to this node, which forwards it; the following lines of `request` are this node's",
    [EventId.RelayRefused]: "a peer's request was refused as not run: `reason` says why, `count` is the number of them since the start",
    [EventId.KeyRefused]:
        "a request was refused for its API key, which is missing, empty, repeated, unknown, or was withdrawn while the request waited (`reason`); with the version and the age of the configuration that was asked, and the `customer` of a withdrawn key",
    [EventId.KeyUnconfirmed]:
        "a request was refused as the configuration is too old to know whether its API key is valid: `isKnown` says whether it has the key, `isSending` whether the request was about to be sent",
    [EventId.ZonesUneven]:
        "a service's upstreams in another zone are much faster or slower than those of the own zone: at most `share` of the requests leave for it; with the predicted times, the gain relative to `ownMs` and the age of the figures",
    [EventId.ZonesEven]: "the zones are even again: requests of the service leave for the other zone wherever they are predicted to be answered first",
    [EventId.SpeedLearned]:
        "a speed of a service's upstreams was learned from responses and is told to the other nodes; `before` and `beforeAgeMs` are what was known, `kind` says what the line of `base` and `slope` describes",
    [EventId.UsageRefused]:
        "a request was refused with 429, as its customer's limit is reached: `units` of the request, the limit, its configuration, and the node that decided",
    [EventId.UsageUnknown]:
        "a request was refused with 503, as neither the home node of its customer nor a reserve admitted it: `home` and `deputy` are the nodes that were to decide",
    [EventId.UsageNodeUnreached]: "a node did not admit or refuse charges of customers in time, or is of an earlier release; it is not asked for `avoidedMs`",
    [EventId.UsageReserveUsed]:
        "a request was admitted from a reserve, as its customer's home node was not reached: of this node's zone, or of this node alone",
    [EventId.UsageHomeBegun]:
        "this node began to count a customer's usage as its home node: `sinceMs` ago it became so, `level` is what may be used since then, `perSecond` and `burst` the limit",
    [EventId.UsageLimitApplied]: "a customer's home node applied another limit; `level` is what may be used now",
    [EventId.UsageContactChanged]:
        "this node lost or gained the contact with the controller, or with all zones, without which it does not act as a home node: another one may have taken over",
    [EventId.UsageReturned]: "charges of requests that did not run were returned to a home node",
    [EventId.FirstEventTooLate]:
        "a request was refused as not run, because its first event would come in `expectedMs` and its caller gives up in `allowedMs`; `step` says what it would have waited for, `ahead` how many requests are served before it, `loadAgeMs` how old the upstream's last stated load is",
    [EventId.SilenceCutShort]:
        "an upstream was silent for so long with a stream without an event that its caller may give up: after `silentMs` of `allowedMs` the request goes to another upstream, if one can take it; `isAlive` is the result of the probe",
    [EventId.RunnersAdopted]:
        "a new controller knows what a service's runners hold and begins to order loads, `waitedMs` after its takeover: `models` is the number of models held, `unreported` the number of runners that it did not wait for",
    [EventId.CopyTurnGiven]:
        "a model is unloaded for one that has been requested for `awaitedMs` without a copy: `load` and `unloadedLoad` are their demand as shares of a runner's time, `unloadedIdleMs` the time since the last request for the former",
    [EventId.RunnerFull]:
        "a runner that this node gives the places of had none for a generation: what it lacks (`lack`), what is in use, the age of the oldest report that counts (`oldestReportMs`), and how many were denied since the last line (at most one line a second and runner)",
    [EventId.GenerationRefused]:
        "no runner with the model has a place for a generation in time: it waits (`isWaiting`) or is refused; `upstream` has room first, in `waitMs`; `loadAgeMs` is the age of its load figures",
    [EventId.GenerationSentUnasked]:
        "a short prompt of an urgent route was sent to a runner although the node that gives its places (`peer`) had not answered within `waitedMs`; `load` is the requests in progress there, as far as this node knows",
    [EventId.SlowReaderCut]:
        "a stream was cut because its caller reads too slowly and the memory for unread events is full: it held the most (`bytes`) of all (`totalBytes` of `limitBytes`), and has not read all of it for `unreadForMs`",
    [EventId.AnswerInvalid]:
        "an upstream or peer answered a request with a `status` outside 100 to 599; the answer counts as none, its connection is closed, and the request may have run",
    [EventId.LeaseTaken]: "this node became the controller of the runners, or the zone controller of its availability zone",
    [EventId.LeaseLost]: "this node is no longer the controller or zone controller",
    [EventId.OrderSent]: "an order was sent to a runner",
    [EventId.OrderUnanswered]: "the outcome of an order is unknown; the order stays pending and its memory reserved",
    [EventId.OrderRefused]: "a runner refused an order",
    [EventId.ArtifactResident]: "a runner reports a copy as resident",
    [EventId.ArtifactGone]: "a runner reports a copy as gone; its memory is free",
    [EventId.RunnerRestarted]: "a runner's engine has a new incarnation",
    [EventId.ReportFailed]: "a runner's report could not be read or violated an invariant",
    [EventId.MemoryLeaked]: "memory stays reserved for a load whose outcome is unknown",
    [EventId.ControllerRoundFailed]: "a round, an order or a lease renewal of a controller failed, usually because the table or store did not answer",
    [EventId.LeaseRowUnreadable]: "the controller's lease row has a format that this release cannot read; it is replaced",
    [EventId.RunnerLeasesUnwritten]: "the runner leases could not be written to the store; the orders that need them are not sent",
    [EventId.RunnerSuspected]: "a node could not reach a runner; the runner's report is requested at once",
    [EventId.RunnerCrashed]: "a runner ended while it worked on this node's requests; the parts of those that it may have crashed on are shared with all nodes",
    [EventId.DirectoryAwaited]:
        "a stream was taken up whose software version this node's directory lacks, but may only not know yet: how long the request waited, and whether an upstream came",
    [EventId.CopyAwaitedAtVersion]:
        "requests wait for a model that other runners have, but none of those that they may use, such as those of one software version",
    [EventId.InvariantMemory]: "reservations exceed a runner's memory or adapter slots",
    [EventId.InvariantEngineMemory]: "an engine reports more memory in use than it has",
    [EventId.InvariantConfigOrder]: "the configuration would go back to an older version",
    [EventId.InvariantSingleForward]: "a call that must not be repeated would be forwarded twice",
    [EventId.InvariantLastCopy]: "the last copy of an offered model would be unloaded",
    [EventId.InvariantOrderRecorded]: "an order would be sent without a recorded reservation",
    [EventId.InvariantVerdict]: "a request would be reported as not run after part of its answer was delivered",
    [EventId.InvariantAnswerOwner]: "part of another request's answer would reach a caller",
};
