import process from 'node:process';

// The settings may change while the program loads, and without a handler the signal that says so ends a process. They are read later, so nothing is missed. Must be the first import of the program.
process.on('SIGHUP', () => undefined);
