// Judges a run of the tests: node known-red.mjs OUTPUT STATUS [LIST]
//
// OUTPUT is what the test runner printed (TAP), STATUS its exit code, LIST the
// file of tests that are known to fail (one line each: test, cause, issue).
// These are run like all others; they are printed, and passed over. A listed
// test that passes or was not run, and a fourth line, fail the run.
import { existsSync, readFileSync } from 'node:fs';

const MOST = 3;

const [output, status, list = 'KNOWN-RED.txt'] = process.argv.slice(2);
const known = existsSync(list)
  ? readFileSync(list, 'utf8')
      .split('\n')
      .map((line) => line.trim())
      .filter((line) => line !== '')
  : [];
const results = new Map();
for (const line of readFileSync(output, 'utf8').split('\n')) {
  const match = /^(not ok|ok) \d+ - (.*?)(?: # .*)?$/.exec(line);
  if (match) results.set(match[2].replaceAll('\\#', '#'), match[1] === 'ok');
}

const faults = [];
if (known.length > MOST) faults.push(`${list} has ${known.length} lines, ${MOST} at the most`);
const listed = new Set();
for (const line of known) {
  const test = [...results.keys()].find((name) => line.startsWith(`${name}, `));
  if (test === undefined) faults.push(`no test of this run is listed by: ${line}`);
  else if (results.get(test)) faults.push(`known to fail, but it passes: ${test}`);
  else {
    listed.add(test);
    console.log(`known red: ${line}`);
  }
}
const failed = [...results].filter(([name, ok]) => !ok && !listed.has(name));
for (const [name] of failed) faults.push(`failed: ${name}`);
if (results.size === 0) faults.push('no test was run');
// The runner may fail for another reason than a test.
if (status !== '0' && failed.length === 0 && listed.size === 0)
  faults.push(`the test runner ended with ${status}`);
for (const fault of faults) console.log(fault);
const passed = [...results.values()].filter((ok) => ok).length;
console.log(`${passed} passed, ${results.size - passed} failed`);
process.exitCode = faults.length > 0 ? 1 : 0;
