import { reservePort } from "./ports";

// Reserves as many ports as the first argument says, prints them, and holds them until the input ends.
const ports: number[] = [];
while (ports.length < Number(process.argv[2])) {
    ports.push(await reservePort());
}
console.log(ports.join(" "));
process.stdin.resume();
