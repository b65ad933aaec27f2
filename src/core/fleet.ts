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

/** A node's view of the VMs: the platform's VM list, joined with the digests of the nodes. */
export class Fleet {
    private vms: readonly Vm[] = [];
    private runnerViews: readonly RunnerView[] = [];
    private residentByArtifact = new Map<string, RunnerView[]>();
    private leavingIds: ReadonlySet<string> = new Set();
    private readonly reportedLeaving = new Set<string>();

    private constructor(private readonly digests: DigestStore) {}

    /** Creates a fleet view that reads the digests. */
    static create(digests: DigestStore): Fleet {
        return new Fleet(digests);
    }

    /** Applies the platform's VM list; an empty list is ignored. */
    setVms(vms: readonly Vm[]): void {
        if (vms.length === 0 || vms === this.vms) {
            return;
        }
        this.vms = vms;
        const ids = new Set(vms.map(vm => vm.id));
        for (const id of this.reportedLeaving) {
            if (!ids.has(id)) {
                this.reportedLeaving.delete(id);
            }
        }
        this.refresh();
    }

    /** Records that an upstream reported itself as leaving; returns whether that is new. */
    markLeaving(vmId: string): boolean {
        const isNew = !this.reportedLeaving.has(vmId);
        this.reportedLeaving.add(vmId);
        return isNew;
    }

    /** Upstreams that reported themselves to this node as leaving. */
    get observedLeaving(): readonly string[] {
        return [...this.reportedLeaving];
    }

    /** The VMs of a kind, including leaving ones. */
    vmsOf(kind: VmKind): readonly Vm[] {
        return this.vms.filter(vm => vm.kind === kind);
    }

    /** Rebuilds the view from the VM list and the digests. */
    refresh(): void {
        const reports = this.newestReports();
        const states = this.exclusions();
        this.leavingIds = new Set(states.flatMap(state => state.leaving).concat([...this.reportedLeaving]));
        const drains = new Map<string, string[]>();
        for (const drain of states.flatMap(state => state.drains)) {
            const separator = drain.indexOf(" ");
            const runner = drain.slice(0, separator);
            drains.set(runner, [...drains.get(runner) ?? [], drain.slice(separator + 1)]);
        }
        this.runnerViews = this.vmsOf(VmKind.Runner).map(vm => {
            const aged = reports.get(vm.id);
            return {
                vm,
                report: aged?.report,
                reportAgeMs: aged?.ageMs ?? Infinity,
                leaving: vm.state === VmState.Leaving || this.leavingIds.has(vm.id),
                draining: drains.get(vm.id) ?? noDrains,
            };
        });
        this.indexArtifacts();
    }

    /** All runners. */
    runners(): readonly RunnerView[] {
        return this.runnerViews;
    }

    /** Runners on which an artifact is resident. */
    residentRunners(artifact: string): readonly RunnerView[] {
        return this.residentByArtifact.get(artifact) ?? [];
    }

    /** The artifact that serves a request: the requested version, or another resident version while the requested one is not resident. */
    servingVersion(artifact: string): string {
        if (this.residentByArtifact.has(artifact)) {
            return artifact;
        }
        const name = unversioned(artifact);
        return [...this.residentByArtifact.keys()].find(other => unversioned(other) === name) ?? artifact;
    }

    /** Instances of a plain service that accept new requests. */
    serviceVms(name: string): readonly Vm[] {
        return this.vmsOf(VmKind.Service).filter(vm => vm.group === name && vm.state === VmState.Live && !this.leavingIds.has(vm.id));
    }

    private exclusions(): readonly Exclusions[] {
        return [DigestName.Node, DigestName.Zone].flatMap(name => this.digests.values<Exclusions>(name)).map(({ value }) => value);
    }

    /** The newest report of each runner, with the newest published load. */
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
        // Zone digests are applied first, so that the loads from nodes of the own zone override them.
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
        this.residentByArtifact = new Map();
        for (const view of this.runnerViews) {
            for (const residency of view.report?.residencies ?? []) {
                if (residency.state === ResidencyState.Resident) {
                    const runners = this.residentByArtifact.get(residency.artifact);
                    if (runners) {
                        runners.push(view);
                    }
                    else {
                        this.residentByArtifact.set(residency.artifact, [view]);
                    }
                }
            }
        }
    }
}
