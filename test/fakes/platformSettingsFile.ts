/** Fields that differ between the settings files of platform nodes on loopback. Addresses are IP:PORT. */
export interface SettingsFileFields {
    readonly name: string;
    readonly zone: string;
    readonly front: string;
    readonly ready: string;
    readonly control: string;
    readonly metricsPort: number;
    readonly seeds: readonly string[];
    readonly storeAddress: string;
    readonly graceS: number;
    readonly budgetSlack: number;
    readonly maxDescriptors?: number;
    readonly ip?: string;
    readonly memoryMb?: number;
}

/** Renders the settings file (TOML) that the platform writes for a node. */
export const renderSettingsFile = (fields: SettingsFileFields): string =>
    `nodeName = "${fields.name}"
ip = "${fields.ip ?? "127.0.0.1"}"
zone = "${fields.zone}"
portRange = [${fields.metricsPort}, ${fields.metricsPort}]
seeds = ${JSON.stringify(fields.seeds)}
bootstrap = true
heartbeatMs = 1000
[listen]
front = "${fields.front}"
ready = "${fields.ready}"
control = "${fields.control}"
[limits]
memoryMb = ${fields.memoryMb ?? 350}
maxFds = ${fields.maxDescriptors ?? 4_100}
[bounds]
contactMs = 3000
drainMs = 2000
graceS = ${fields.graceS}
applyMs = 2000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = ${fields.budgetSlack}
leaseMs = 3000
fencing = false
ceilingWindowS = 5
ceilingOverrun = 1.1
[platform]
addr = "${fields.storeAddress}"
`;
