import { assertReportWithinMemory } from "../core/memoryReservations";
import type { NodeContext, NodePlugin } from "../node/context";
import { EventId } from "../types/eventId";
import type { EngineReport } from "../types/report";
import type { Vm } from "../types/vm";
import { VmKind, VmState } from "../types/vm";
import { emit } from "../utils/events";
import { ownerOf } from "../utils/hash";
import { repeat } from "../utils/time";

/** Whether a report is newer than the known one of the runner; reports may arrive out of order. */
export const isNewerReport = (report: EngineReport, known: EngineReport | undefined): boolean =>
    !known || known.incarnation !== report.incarnation || report.sequence > known.sequence;

const collectReport = async (node: NodeContext, vm: Vm): Promise<void> => {
    try {
        const report = await node.engines(vm.url).report();
        if (isNewerReport(report, node.reports.get(vm.id))) {
            node.reports.set(vm.id, report);
            assertReportWithinMemory(vm.id, report);
        }
        if (report.leaving && node.fleet.markLeaving(vm.id)) {
            emit(EventId.UpstreamLeaving, { upstream: vm.id });
        }
    }
    catch (err) {
        emit(EventId.ReportFailed, { runner: vm.id, detail: err instanceof Error ? err.message : String(err) });
    }
};

/** Collects the reports of the runners assigned to this node; a zone's runners are distributed over its live nodes by hash. */
export const createReportCollector = (): NodePlugin => ({
    name: "report-collector",
    start: node => {
        const collectReports = async (): Promise<void> => {
            const inZone = (vm: Vm) => vm.availabilityZone === node.cfg.availabilityZone;
            const nodes = node.fleet.vmsOf(VmKind.Node).filter(vm => inZone(vm) && vm.state === VmState.Live).map(vm => vm.id);
            const assignedRunners = node.fleet.vmsOf(VmKind.Runner).filter(vm => inZone(vm) && ownerOf(vm.id, nodes) === node.cfg.nodeId);
            const assignedIds = new Set(assignedRunners.map(vm => vm.id));
            [...node.reports.keys()].filter(id => !assignedIds.has(id)).forEach(id => node.reports.delete(id));
            await Promise.all(assignedRunners.map(vm => collectReport(node, vm)));
        };
        void repeat(collectReports, () => node.cfg.reportPollMs, node.signal, err => emit(EventId.ReportFailed, { detail: String(err) }));
    },
});
