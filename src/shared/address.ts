import * as z from 'zod';

export type SocketAddress = {
	readonly host: string;
	readonly port: number;
};

/** Schema of an address, `host:port`. */
export const hostAndPort = z.string().regex(/^[^\s:]+:\d{1,5}$/v, 'expected host:port');

/** Splits an address, `host:port`. */
export function splitAddress(address: string): SocketAddress {
	const separator = address.lastIndexOf(':');
	return {host: address.slice(0, separator), port: Number(address.slice(separator + 1))};
}
