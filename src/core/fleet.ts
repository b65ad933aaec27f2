import type { DigestLoad, DigestReports, Exclusions } from "../types/nodeDigest";
import { DigestName } from "../types/nodeDigest";
import type { EngineReport } from "../types/report";
import { ResidencyState } from "../types/report";
import type { RunnerView } from "../types/runnerView";
import type { Vm } from "../types/vm";
import { VmKind, VmState } from "../types/vm";
import { unversioned } from "./artifacts";
import type { DigestStore } from "./digestStore";
import { isZoneOrigin } from "./digestStore";

interface AgedReport {
    readonly report: EngineReport;
    readonly ageMs: number;
}

const noDrains: readonly string[] = [];

/** What a node knows of the VMs: the platform's list, joined with the digests of the nodes. */
export class Fleet {
    private vms: readonly Vm[] = [];
    private views: readonly RunnerView[] = [];
    private byArtifact = new Map<string, RunnerView[]>();
    private leaving: ReadonlySet<string> = new Set();
    private readonly refused = new Set<string>();

    private constructor(private readonly digests: DigestStore) {}

    /** Makes a fleet over the digests. */
    static create(digests: DigestStore): Fleet {
        return new Fleet(digests);
    }

    /** Takes the platform's list; an empty one is no list. */
    setVms(vms: readonly Vm[]): void {
        if (vms.length === 0 || vms === this.vms) {
            return;
        }
        this.vms = vms;
        const ids = new Set(vms.map(vm => vm.id));
        for (const id of this.refused) {
            if (!ids.has(id)) {
                this.refused.delete(id);
            }
        }
        this.refresh();
    }

    /** Notes that an upstream itself said that it leaves. */
    markLeaving(vmId: string): boolean {
        const isNew = !this.refused.has(vmId);
        this.refused.add(vmId);
        return isNew;
    }

    /** Upstreams that this node saw leaving. */
    get observedLeaving(): readonly string[] {
        return [...this.refused];
    }

    /** The VMs of a kind, leaving ones included. */
    vmsOf(kind: VmKind): readonly Vm[] {
        return this.vms.filter(vm => vm.kind === kind);
    }

    /** Joins list and digests anew. */
    refresh(): void {
        const reports = this.newestReports();
        const states = this.exclusions();
        this.leaving = new Set(states.flatMap(state => state.leaving).concat([...this.refused]));
        const drains = new Map<string, string[]>();
        for (const drain of states.flatMap(state => state.drains)) {
            const space = drain.indexOf(" ");
            const runner = drain.slice(0, space);
            drains.set(runner, [...drains.get(runner) ?? [], drain.slice(space + 1)]);
        }
        this.views = this.vmsOf(VmKind.Runner).map(vm => {
            const aged = reports.get(vm.id);
            return {
                vm,
                report: aged?.report,
                reportAgeMs: aged?.ageMs ?? Infinity,
                leaving: vm.state === VmState.Leaving || this.leaving.has(vm.id),
                draining: drains.get(vm.id) ?? noDrains,
            };
        });
        this.indexArtifacts();
    }

    /** All runners. */
    runners(): readonly RunnerView[] {
        return this.views;
    }

    /** Runners on which an artifact is resident. */
    residentRunners(artifact: string): readonly RunnerView[] {
        return this.byArtifact.get(artifact) ?? [];
    }

    /** The artifact that serves a request: the version asked for, or another one that is resident while it is not. */
    servingVersion(artifact: string): string {
        if (this.byArtifact.has(artifact)) {
            return artifact;
        }
        const name = unversioned(artifact);
        return [...this.byArtifact.keys()].find(other => unversioned(other) === name) ?? artifact;
    }

    /** Instances of a plain service that take new requests. */
    serviceVms(name: string): readonly Vm[] {
        return this.vmsOf(VmKind.Service).filter(vm => vm.group === name && vm.state === VmState.Live && !this.leaving.has(vm.id));
    }

    private exclusions(): readonly Exclusions[] {
        return [DigestName.Node, DigestName.Zone].flatMap(name => this.digests.values<Exclusions>(name)).map(({ value }) => value);
    }

    /** The newest report of each runner, with the newest load that was told of it. */
    private newestReports(): ReadonlyMap<string, AgedReport> {
        const newest = new Map<string, AgedReport>();
        for (const { value, ageMs } of this.digests.valuesWithPrefix<DigestReports>(DigestName.Reports)) {
            for (const [runner, report] of Object.entries(value)) {
                const known = newest.get(runner);
                const isNewer = !known ||
                    (known.report.incarnation === report.incarnation ? report.sequence > known.report.sequence : ageMs < known.ageMs);
                if (isNewer) {
                    newest.set(runner, { report, ageMs });
                }
            }
        }
        // Zones come first, so that what the own zone's nodes tell goes last and stays.
        for (
            const { value, ageMs } of [...this.digests.values<DigestLoad>(DigestName.Load)].sort((a, b) =>
                Number(isZoneOrigin(b.origin)) - Number(isZoneOrigin(a.origin))
            )
        ) {
            for (const [runner, [active, queued]] of Object.entries(value)) {
                const known = newest.get(runner);
                if (known) {
                    newest.set(runner, { report: { ...known.report, active, queued }, ageMs });
                }
            }
        }
        return newest;
    }

    private indexArtifacts(): void {
        this.byArtifact = new Map();
        for (const view of this.views) {
            for (const residency of view.report?.residencies ?? []) {
                if (residency.state === ResidencyState.Resident) {
                    const holders = this.byArtifact.get(residency.artifact);
                    if (holders) {
                        holders.push(view);
                    }
                    else {
                        this.byArtifact.set(residency.artifact, [view]);
                    }
                }
            }
        }
    }
}
