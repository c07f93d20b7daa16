import * as z from 'zod';

/** Schema of an address, `host:port`. */
export const hostAndPort = z.string().regex(/^[^\s:]+:\d{1,5}$/v, 'expected host:port');
