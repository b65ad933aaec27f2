import type { BucketLimit } from "../core/usageBucket";
import { UsageContact } from "../core/usageContact";
import type { UsageCounters } from "../core/usageCounters";
import { UsageHomes } from "../core/usageHomes";
import type { PlatformNodeSettings } from "../types/platformNodeSettings";
import type { ReturnedUsage } from "../types/returnedUsage";
import type { ServingConfig } from "../types/servingConfig";
import type { UsageAnswer } from "../types/usageAnswer";
import type { UsageCharge } from "../types/usageCharge";
import type { UsageNodes } from "../types/usageNodes";
import type { UsageRequest } from "../types/usageRequest";
import type { ClockReading } from "../utils/clockReading";
import { readClocks } from "../utils/clockReading";
import type { Random } from "../utils/random";
import type { PeerClients } from "./peerClients";
import { UsageClient } from "./usageClient";
import { UsageDesk } from "./usageDesk";
import { UsageReporter } from "./usageReporter";
import { UsageRoles } from "./usageRoles";
import { UsageSender } from "./usageSender";

/** What usage limits need of a node. */
export interface UsageHost {
    readonly settings: Pick<PlatformNodeSettings, "usageWindowMs" | "usageOverrun" | "usageSlack">;
    readonly config: Pick<ServingConfig, "version" | "customers"> | undefined;
    readonly usage: UsageCounters;
    readonly random: Random;
}

const limitsOf = (config: UsageHost["config"]): ReadonlyMap<string, BucketLimit> =>
    new Map((config?.customers ?? []).flatMap(({ name, limit }) => limit ? [[name, limit]] : []));

/** This node's part in the usage limits of customers: charges of its own requests, and decisions as a home node and deputy. */
export class UsageService {
    private readonly homes: UsageHomes;
    private readonly roles: UsageRoles;
    private readonly contact: UsageContact;
    private readonly reporter: UsageReporter;
    private readonly desk: UsageDesk;
    private readonly client: UsageClient;
    private appliedVersion = 0;

    private constructor(private readonly host: UsageHost, clients: PeerClients, nodes: UsageNodes) {
        const { address, zone } = nodes.self;
        const roles = UsageRoles.create(nodes);
        const homes = UsageHomes.create(address, host.random);
        this.roles = roles;
        this.homes = homes;
        this.contact = UsageContact.create(() => roles.otherZones);
        this.reporter = UsageReporter.create(clients, () => address, returned => homes.giveBack(returned));
        const sender = UsageSender.create(clients, () => zone, this.reporter, host.usage);
        this.desk = UsageDesk.create({
            homes,
            roles,
            contact: this.contact,
            sender,
            bounds: () => ({ windowMs: host.settings.usageWindowMs, overrun: host.settings.usageOverrun, slack: host.settings.usageSlack }),
            applyLimits: () => this.onConfig(),
        });
        this.client = UsageClient.create(roles, sender, this.desk);
    }

    /** Creates the part of a node among the nodes that are known. */
    static create(host: UsageHost, clients: PeerClients, nodes: UsageNodes): UsageService {
        return new UsageService(host, clients, nodes);
    }

    /** Whether the controller has listed the nodes. */
    get isFleetKnown(): boolean {
        return this.roles.isFleetKnown;
    }

    /** Levels of the buckets of the customers whose home this node is. */
    get levels(): ReadonlyMap<string, number> {
        return this.homes.levels;
    }

    /** Charges a request of this node's caller. */
    charge(charge: UsageCharge): Promise<UsageAnswer> {
        return this.client.charge(charge);
    }

    /** Returns the charge of a request that did not run. What a reserve granted is not returned: its grants end with the window. */
    onNotRun({ customer, units }: UsageCharge, { node, bucket }: UsageAnswer): void {
        if (node !== undefined && bucket !== undefined) {
            this.reporter.onReturned(node, { customer, units, bucket });
        }
    }

    /** Decides on the charges of a peer. */
    answer(req: UsageRequest): Promise<readonly UsageAnswer[]> {
        return this.desk.answer(req);
    }

    /** Takes back what this node admitted as a home node. */
    giveBack(returned: ReturnedUsage): void {
        this.homes.giveBack(returned);
    }

    /** Takes note of the nodes that are known now. */
    setNodes(nodes: UsageNodes): void {
        this.roles.update(nodes);
    }

    /** Records that the controller was heard, some time before a question was asked at `at`. */
    onController({ monotonicMs, wallMs }: ClockReading, agoMs: number): void {
        this.contact.onController({ monotonicMs: monotonicMs - agoMs, wallMs: wallMs - agoMs });
    }

    /** Records that a peer answered a question that was asked at `at`. */
    onPeer(address: string, at: ClockReading): void {
        const zone = this.roles.zoneOf(address);
        if (zone !== undefined) {
            this.contact.onZone(zone, at);
        }
    }

    /** Records a report from a node of a zone. */
    onReport(zone: string): void {
        this.contact.onZone(zone, readClocks());
    }

    /** Applies the limits of the configuration in force. Each version counts: what a higher burst adds is the difference from the version before. */
    onConfig(): void {
        const { config } = this.host;
        if (config !== undefined && config.version !== this.appliedVersion) {
            this.appliedVersion = config.version;
            this.homes.applyLimits(limitsOf(config), config.version, customer => this.roles.homeSince(customer));
        }
    }
}
