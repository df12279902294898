/** Runs a gateway whose paths to upstreams are lost and restored by datagrams that name the kind of partition. */
import { createSocket } from "node:dgram";
import process from "node:process";
import { PARTITION_KINDS } from "../fakes/network_partition.ts";
import { runGateway } from "../platform/run_gateway.ts";
import { splitAddress } from "../src/addresses/split_address.ts";
import { PARTITION_ADDRESS_VARIABLE } from "./partition_control.ts";
import { PartitionedDial } from "./partitioned_dial.ts";

const paths = PartitionedDial.create();
const control = createSocket("udp4");
control.on("message", (message) => {
  const text = message.toString();
  const kind = PARTITION_KINDS.find((each) => each === text);
  void paths.setPartition(kind);
});
const { host, port } = splitAddress(process.env[PARTITION_ADDRESS_VARIABLE]!);
control.bind(port, host);
// The command is the first argument after the script, as for the program itself.
void runGateway(process.argv.slice(3), paths.dial);
