/** Reporter of node:test that writes one JSON line for each test that passed or failed, without suites and tests that failed only through their subtests. */

const SUBTESTS_FAILED = 'subtestsFailed'

export default async function * reportResults (events) {
  for await (const { type, data } of events) {
    const isResult = type === 'test:pass' || type === 'test:fail'
    if (!isResult || data.file === undefined || data.details.type === 'suite') continue
    if (data.details.error?.failureType === SUBTESTS_FAILED) continue
    yield JSON.stringify({ file: data.file, title: data.name, passed: type === 'test:pass' }) + '\n'
  }
}
