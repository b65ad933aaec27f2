import type { Clock } from "@sinonjs/fake-timers";
import { UpstreamContact } from "../../src/core/upstreamContact";
import { ContactFailure } from "../../src/types/contactFailure";
import type { ContactState } from "../../src/types/contactState";
import type { UpstreamServer } from "../../src/types/upstreamServer";
import { processKey, UpstreamState } from "../../src/types/upstreamServer";
import type { Random } from "../../src/utils/random";
import { createRandom, pick } from "../../src/utils/random";

/** What happens to this node's links to the upstreams. */
export enum Link {
    Sound = "sound",
    /** Open connections are silent and new ones are not opened. */
    Hanging = "hanging",
    /** Open connections are silent, and so are new ones, which open. */
    Mute = "mute",
    /** Connections are reset as soon as something is sent. */
    Reset = "reset",
    /** Open connections live on and new ones are refused. */
    NewRefused = "new-refused",
}

/** A change of the state with the time at which it came. */
export interface ContactChange {
    readonly at: number;
    readonly state: ContactState;
}

const tickMs = 100;
const connectTimeoutMs = 400;
const probeTimeoutMs = 500;

/** Options of a simulation. */
export interface ContactSimulationOptions {
    readonly upstreams?: number;
    /** Pause between two requests; none are sent without it. */
    readonly requestPauseMs?: number;
    readonly latencyMs?: number;
    /** Share of the requests on connections that were opened at the start. */
    readonly keptShare?: number;
    readonly seed?: number;
}

/** A node with requests to upstreams over links that may fail, on a paused clock. */
export class ContactSimulation {
    readonly contact: UpstreamContact;
    readonly changes: ContactChange[] = [];
    readonly probed: { readonly at: number; readonly id: string; }[] = [];
    link = Link.Sound;
    /** When a connection first failed or was first not answered in the cut. */
    firstFailureAt: number | undefined;
    /** Upstreams whose processes have ended, and those that send nothing. */
    readonly crashed = new Set<string>();
    readonly silent = new Set<string>();
    servers: readonly UpstreamServer[];
    /** Time after which an upstream answers a probe. */
    probeAnswerMs = 5;
    /** Whether upstreams may be probed. */
    mayProbe: (server: UpstreamServer) => boolean = () => true;
    private readonly random: Random;
    /** Until when this process does not run. */
    private pausedUntil = 0;
    private readonly startedAt = performance.now();

    private constructor(private readonly clock: Clock, private readonly options: ContactSimulationOptions) {
        this.random = createRandom(options.seed ?? 1);
        this.contact = UpstreamContact.create(this.random);
        this.contact.observe(state => this.changes.push({ at: performance.now(), state }));
        this.servers = [...Array(options.upstreams ?? 24).keys()].map(index => ({
            id: `u${index}`,
            service: `s${index % 3}`,
            address: `10.0.0.${index}:1`,
            availabilityZone: index % 2 === 0 ? "a" : "b",
            slots: 4,
            state: UpstreamState.Ready,
            models: [],
            inMemory: [],
            onDisk: [],
            bornAt: 1,
            acceptedOrders: 0,
        }));
        setInterval(() => this.whenRunning(() => this.tick()), tickMs);
        if (options.requestPauseMs !== undefined) {
            setInterval(() => this.whenRunning(() => this.send()), options.requestPauseMs);
        }
    }

    static create(clock: Clock, options: ContactSimulationOptions = {}): ContactSimulation {
        return new ContactSimulation(clock, options);
    }

    async pass(ms: number): Promise<void> {
        await this.clock.tickAsync(ms);
    }

    /** The process does not run for a time, and then reads what has arrived before anything else. */
    async pause(ms: number): Promise<void> {
        this.pausedUntil = performance.now() + ms;
        await this.pass(ms);
    }

    /** Time of the first change to a state after a time. */
    changeAfter(at: number, state: ContactState): number | undefined {
        return this.changes.find(change => change.at >= at && change.state === state)?.at;
    }

    /** States after a time. */
    statesAfter(at: number): readonly ContactState[] {
        return this.changes.filter(change => change.at >= at).map(({ state }) => state);
    }

    private whenRunning(step: () => void): void {
        if (performance.now() >= this.pausedUntil) {
            step();
        }
    }

    /** Something arrives or a timeout ends: this process handles it when it runs. */
    private later(ms: number, step: () => void): void {
        setTimeout(() => performance.now() >= this.pausedUntil ? step() : this.later(this.pausedUntil - performance.now(), step), ms);
    }

    private tick(): void {
        this.contact.tick(() => this.servers.filter(this.mayProbe)).forEach(server => {
            const sentAt = performance.now();
            this.probed.push({ at: sentAt, id: server.id });
            this.connect(server, {
                onAnswer: () => this.contact.onProbeAnswered(processKey(server), sentAt),
                onFailure: kind => kind && this.contact.onProbeFailed(processKey(server), kind),
                answerMs: this.probeAnswerMs,
                timeoutMs: probeTimeoutMs,
            });
        });
    }

    private send(): void {
        const server = pick(this.servers, this.random);
        if (!server) {
            return;
        }
        this.contact.countInProgress(1);
        let isDone = false;
        const done = (): void => {
            if (!isDone) {
                isDone = true;
                this.contact.countInProgress(-1);
            }
        };
        const answerMs = this.options.latencyMs ?? 100;
        if (this.random() < (this.options.keptShare ?? 0.5)) {
            const isLive = this.link === Link.Sound || this.link === Link.NewRefused;
            if (this.crashed.has(server.id) || this.link === Link.Reset) {
                this.later(1, () => this.contact.onFailure(processKey(server), ContactFailure.Ended));
            }
            else if (isLive && !this.silent.has(server.id)) {
                this.later(answerMs, () => {
                    if (this.link === Link.Sound || this.link === Link.NewRefused) {
                        this.contact.onWord(processKey(server), this.startedAt);
                    }
                });
            }
            this.later(answerMs < 1_500 && isLive ? answerMs : 1_500, done);
            return;
        }
        const openedAt = performance.now();
        this.connect(server, {
            onAnswer: () => {
                this.contact.onWord(processKey(server), openedAt);
                done();
            },
            onFailure: kind => {
                if (kind) {
                    this.contact.onFailure(processKey(server), kind);
                }
                done();
            },
            answerMs,
            timeoutMs: 1_500,
        });
    }

    private connect(
        { id }: UpstreamServer,
        { onAnswer, onFailure, answerMs, timeoutMs }: {
            readonly onAnswer: () => void;
            readonly onFailure: (kind?: ContactFailure) => void;
            readonly answerMs: number;
            readonly timeoutMs: number;
        },
    ): void {
        if (this.link !== Link.Sound) {
            this.firstFailureAt ??= performance.now();
        }
        if (this.link === Link.Hanging) {
            this.later(connectTimeoutMs, () => onFailure(ContactFailure.Connect));
        }
        else if (this.link === Link.NewRefused || this.crashed.has(id)) {
            this.later(1, () => onFailure(ContactFailure.Connect));
        }
        else {
            this.later(1, () => this.contact.onOpened());
            if (this.link === Link.Reset) {
                this.later(2, () => onFailure(ContactFailure.Ended));
            }
            else if (this.link === Link.Mute || this.silent.has(id)) {
                this.later(timeoutMs, () => onFailure());
            }
            else {
                this.later(Math.min(answerMs, timeoutMs), () => {
                    if (answerMs > timeoutMs) {
                        onFailure();
                    }
                    else if (this.link === Link.Sound || this.link === Link.NewRefused) {
                        onAnswer();
                    }
                });
            }
        }
    }
}
