/** Faulty endpoint that writes without end. */
import { startRawServer } from './rawServer.ts'
import type { RawServer } from './rawServer.ts'

/** Starts a server that writes `first` after the first bytes of each connection, and then `repeated` until the connection is closed. */
export function startEndlessServer (first: string, repeated: string): Promise<RawServer> {
  return startRawServer(socket => {
    const write = (): void => {
      if (repeated === '') return
      while (!socket.destroyed && socket.write(repeated));
    }
    socket.once('data', () => {
      socket.on('drain', write)
      socket.write(first)
      write()
    })
  })
}
