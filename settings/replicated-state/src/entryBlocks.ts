/** Numbered texts of the audit trail: the newest as strings, older ones in compressed blocks. */
import { deflateRawSync, inflateRawSync } from 'node:zlib'

/** Text that is collected before a block is compressed, in characters. */
const MIN_BLOCK_CHARACTERS = 131_072
const COMPRESSION_LEVEL = 1
const SEPARATOR = '\n'

/** A compressed run of consecutive texts. */
export interface Block {
  /** Number of its first text. */
  readonly first: number
  readonly count: number
  readonly compressed: Uint8Array
}

export interface SavedBlocks {
  readonly blocks: readonly Block[]
  /** The newest texts, not compressed yet. */
  readonly open: readonly string[]
  /** Number of the first of the newest texts. */
  readonly openFirst: number
}

export interface EntryBlocks {
  /** Adds a text without line breaks as the next number. */
  readonly add: (text: string) => void
  /** Returns the text with this number, which must not have been dropped. */
  readonly get: (number: number) => string
  /** Drops the blocks whose texts all have a number below this one. */
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
  /** The block that was read last, decompressed. */
  let lastRead: { block: Block, texts: string[] } | undefined

  function compressOpenTexts (): void {
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
      if (openCharacters >= MIN_BLOCK_CHARACTERS) compressOpenTexts()
    },
    get: number => {
      if (number >= openFirst) return open[number - openFirst]!
      const block = findBlock(number)
      if (lastRead?.block !== block) lastRead = { block, texts: inflateRawSync(block.compressed).toString().split(SEPARATOR) }
      return lastRead.texts[number - block.first]!
    },
    dropBelow: number => {
      const firstKept = blocks.findIndex(block => block.first + block.count > number)
      if (firstKept !== 0) blocks = firstKept < 0 ? [] : blocks.slice(firstKept)
      if (lastRead !== undefined && !blocks.includes(lastRead.block)) lastRead = undefined
    },
    save: () => ({ blocks, open, openFirst }),
    load: saved => {
      blocks = saved.blocks.map(block => ({ ...block, compressed: Uint8Array.from(block.compressed) }))
      open = [...saved.open]
      openFirst = saved.openFirst
      openCharacters = open.reduce((sum, text) => sum + text.length, 0)
      lastRead = undefined
    }
  }
}
