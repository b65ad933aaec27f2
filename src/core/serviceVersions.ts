import { softwareVersionOf } from "../types/upstreamServer";
import { getOrCreate } from "../utils/maps";
import type { UpstreamDirectory } from "./upstreamDirectory";

/** When a software version was last seen in the directory. */
interface Sighting {
    isPresent: boolean;
    /** Whether an upstream has had this version. */
    wasPresent: boolean;
    lastSeenAt: number;
    /** When it came back after it had been absent. */
    returnedAt: number;
}

/** The software versions of each service's upstreams, as the directory shows them. */
export class ServiceVersions {
    private readonly sightings = new Map<string, Map<string, Sighting>>();
    /** The version that each service had alone when this node first saw it so. */
    private readonly firstVersions = new Map<string, string>();

    private constructor(private readonly directory: UpstreamDirectory) {}

    /** Creates a view that follows a directory. */
    static create(directory: UpstreamDirectory): ServiceVersions {
        const versions = new ServiceVersions(directory);
        directory.observe(({ server }, before) => {
            for (const service of new Set([server?.service, before?.service])) {
                if (service !== undefined) {
                    versions.update(service);
                }
            }
        });
        return versions;
    }

    /** Versions of a service's upstreams at present, in any state. */
    of(service: string): readonly string[] {
        return [...this.sightings.get(service) ?? []].filter(([, { isPresent }]) => isPresent).map(([version]) => version);
    }

    /** Whether this node has seen an upstream of a version. */
    hasSeen(service: string, version: string): boolean {
        return this.sightings.get(service)?.get(version)?.wasPresent ?? false;
    }

    /** Whether this node has seen upstreams of one version only, or none. */
    isUniform(service: string): boolean {
        return (this.sightings.get(service)?.size ?? 0) <= 1;
    }

    /** The version that served alone before others came, if this node has seen that; otherwise that of the upstream that has run the longest. */
    firstOf(service: string): string | undefined {
        const oldest = this.directory.all().filter(server => server.service === service).sort((one, other) => one.bornAt - other.bornAt)[0];
        return this.firstVersions.get(service) ?? (oldest && softwareVersionOf(oldest));
    }

    /** Time for which this node has known that a version has no upstream; 0 while it has one. */
    absentMs(service: string, version: string): number {
        const { isPresent, lastSeenAt } = getOrCreate(
            getOrCreate(this.sightings, service, () => new Map<string, Sighting>()),
            version,
            () => ({ isPresent: false, wasPresent: false, lastSeenAt: performance.now(), returnedAt: Number.NEGATIVE_INFINITY }),
        );
        return isPresent ? 0 : performance.now() - lastSeenAt;
    }

    /** When a version came back after all its upstreams had left; negative infinity if it did not. */
    returnedAt(service: string, version: string): number {
        return this.sightings.get(service)?.get(version)?.returnedAt ?? Number.NEGATIVE_INFINITY;
    }

    private update(service: string): void {
        const sightings = getOrCreate(this.sightings, service, () => new Map<string, Sighting>());
        const present = new Set(this.directory.all().filter(server => server.service === service).map(softwareVersionOf));
        const now = performance.now();
        sightings.forEach((sighting, version) => {
            if (sighting.isPresent && !present.has(version)) {
                sighting.isPresent = false;
                sighting.lastSeenAt = now;
            }
        });
        for (const version of present) {
            const sighting = getOrCreate(sightings, version, () => ({
                isPresent: true,
                wasPresent: true,
                lastSeenAt: now,
                returnedAt: Number.NEGATIVE_INFINITY,
            }));
            sighting.wasPresent = true;
            if (!sighting.isPresent) {
                sighting.isPresent = true;
                sighting.returnedAt = now;
            }
        }
        const [onlyVersion, ...others] = present;
        if (onlyVersion !== undefined && others.length === 0 && sightings.size === 1) {
            this.firstVersions.set(service, onlyVersion);
        }
    }
}
