import { isIPv4 } from "node:net";
import { UpstreamFault } from "../types/upstreamFault";
import type { ResidentModel, UpstreamServer } from "../types/upstreamServer";

/** Printable ASCII without spaces, which a header can carry. */
const idPattern = /^[\x21-\x7e]{1,200}$/;
const addressPattern = /^([\d.]+):([1-9]\d{0,4})$/;
const maxPort = 65_535;
/** First octets from here on belong to multicast and reserved addresses, 0 to the unspecified one. */
const firstMulticastOctet = 224;
const maxTextLength = 1_024;
const maxListLength = 10_000;
const maxSlots = 1_000_000;
const maxRemainingMs = 1_000_000_000;

/** Whether a text is the IPv4 address and port of one host. */
export const isHostAddress = (text: string): boolean => {
    const [, ip = "", port] = addressPattern.exec(text) ?? [];
    const firstOctet = Number(ip.split(".", 1)[0]);
    return isIPv4(ip) && firstOctet > 0 && firstOctet < firstMulticastOctet && Number(port) <= maxPort;
};

/** Names that every object has, such as `__proto__`, are no keys of one. */
const isId = (text: string): boolean => idPattern.test(text) && !(text in Object.prototype);
const isCount = (value: number): boolean => Number.isSafeInteger(value) && value >= 0;
const isName = (text: string): boolean => text.length > 0 && text.length <= maxTextLength;
const areNames = (texts: readonly string[]): boolean => texts.length <= maxListLength && texts.every(isName);

const hasRanges = ({ slots, bornAt, acceptedOrders, remainingMs = 0, models }: UpstreamServer): boolean =>
    slots > 0 && slots <= maxSlots && isCount(bornAt) && isCount(acceptedOrders) && remainingMs >= 0 && remainingMs <= maxRemainingMs &&
    models.every(({ version }) => isCount(version));

const hasLengths = ({ service, availabilityZone, softwareVersion = "", models, inMemory, onDisk }: UpstreamServer): boolean =>
    isName(service) && availabilityZone.length <= maxTextLength && softwareVersion.length <= maxTextLength &&
    areNames(models.map(({ name }: ResidentModel) => name)) && models.every(({ adapters }) => areNames(adapters)) && areNames(inMemory) && areNames(onDisk);

/** The checks of an entry; the first that fails names its fault. */
const checks: readonly (readonly [UpstreamFault, (server: UpstreamServer) => boolean])[] = [
    [UpstreamFault.Id, ({ id }) => isId(id)],
    [UpstreamFault.Address, ({ address }) => isHostAddress(address)],
    [UpstreamFault.Number, hasRanges],
    [UpstreamFault.Length, hasLengths],
];

/** Why an upstream cannot be used; undefined if it can. */
export const findUpstreamFault = (server: UpstreamServer): UpstreamFault | undefined => checks.find(([, isSound]) => !isSound(server))?.[0];
