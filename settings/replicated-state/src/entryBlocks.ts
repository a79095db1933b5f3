/** Texts in order of their number: the newest as they are, older ones in compressed blocks. */
import { deflateRawSync, inflateRawSync } from 'node:zlib'

/** Text that a block gathers before it is compressed, in characters. */
const BLOCK_CHARACTERS = 131_072
const COMPRESSION_LEVEL = 1
const SEPARATOR = '\n'

/** Compressed texts. */
export interface Block {
  /** Number of its first text. */
  readonly first: number
  readonly count: number
  readonly compressed: Uint8Array
}

export interface SavedBlocks {
  readonly blocks: readonly Block[]
  /** The newest texts. */
  readonly open: readonly string[]
  /** Number of the first of the newest texts. */
  readonly openFirst: number
}

export interface EntryBlocks {
  /** Adds a text without line breaks as the next number. */
  readonly add: (text: string) => void
  /** The text of a number that is held. */
  readonly get: (number: number) => string
  /** Texts below this number are no longer needed. */
  readonly dropBelow: (number: number) => void
  readonly save: () => SavedBlocks
  readonly load: (saved: SavedBlocks) => void
}

/** Creates empty blocks; the first text gets number 1. */
export function createEntryBlocks (): EntryBlocks {
  let blocks: Block[] = []
  let open: string[] = []
  let openFirst = 1
  let openCharacters = 0
  /** The block that was read last. */
  let read: { block: Block, texts: string[] } | undefined

  function seal (): void {
    const compressed = deflateRawSync(open.join(SEPARATOR), { level: COMPRESSION_LEVEL })
    blocks.push({ first: openFirst, count: open.length, compressed })
    openFirst += open.length
    open = []
    openCharacters = 0
  }

  function findBlock (number: number): Block {
    let low = 0
    let high = blocks.length - 1
    while (low < high) {
      const middle = Math.ceil((low + high) / 2)
      if (blocks[middle]!.first <= number) low = middle
      else high = middle - 1
    }
    return blocks[low]!
  }

  return {
    add: text => {
      open.push(text)
      openCharacters += text.length
      if (openCharacters >= BLOCK_CHARACTERS) seal()
    },
    get: number => {
      if (number >= openFirst) return open[number - openFirst]!
      const block = findBlock(number)
      if (read?.block !== block) read = { block, texts: inflateRawSync(block.compressed).toString().split(SEPARATOR) }
      return read.texts[number - block.first]!
    },
    dropBelow: number => {
      const kept = blocks.findIndex(block => block.first + block.count > number)
      if (kept !== 0) blocks = kept < 0 ? [] : blocks.slice(kept)
      if (read !== undefined && !blocks.includes(read.block)) read = undefined
    },
    save: () => ({ blocks, open, openFirst }),
    load: saved => {
      blocks = saved.blocks.map(block => ({ ...block, compressed: Uint8Array.from(block.compressed) }))
      open = [...saved.open]
      openFirst = saved.openFirst
      openCharacters = open.reduce((sum, text) => sum + text.length, 0)
      read = undefined
    }
  }
}
