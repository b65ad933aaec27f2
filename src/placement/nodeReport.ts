import type { Gateway } from "../forward/gateway";
import { ContactState } from "../types/contactState";
import type { NodeReport, RequestedWork } from "../types/placement";
import type { ControllerLink } from "./controllerLink";
import type { LocalComponents } from "./localComponents";
import { addLoads } from "./reportedNodes";

/** What this node has from the controller or the relay that answered last. */
type KnownVersions = Pick<NodeReport, "source" | "adaptersRevision" | "peersVersion">;

/** This node's report to the controller or a relay; as a relay, with those of its members. */
export const createNodeReport = (
    gateway: Gateway,
    link: ControllerLink,
    { controller, peerServer }: LocalComponents,
    known: KnownVersions,
    work: readonly RequestedWork[],
): NodeReport => {
    const { settings, directory, config, contact } = gateway;
    const isRelaying = link.isRelaying && !controller.isActive;
    const loads: Record<string, [number, number]> = isRelaying ? peerServer.nodes.loadsExcluding() : {};
    addLoads(loads, gateway.ownLoads());
    return {
        node: settings.nodeId,
        peerAddress: settings.peerAddress,
        zone: settings.availabilityZone,
        cores: settings.cores,
        reachesUpstreams: contact.state === ContactState.Held,
        members: isRelaying ? peerServer.nodes.members.filter(({ address }) => address !== settings.peerAddress) : [],
        ...known,
        configVersion: config?.version ?? 0,
        directoryVersion: directory.version,
        adaptersEpoch: link.epoch,
        work: [...work, ...link.takeMemberWork()],
        loads,
    };
};
