package org.verbenamast.core.model;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * The hash function that distributes keys over slices. It is part of the stored format: rows refer to slices
 * by the resulting numbers, so it must never change.
 */
public final class KeyHash {

    private static final int MIX_SHIFT = 16;
    private static final int MIX_FACTOR = 0x85ebca6b;

    private KeyHash() {}

    /**
     * Returns the hash of a key's UTF-8 bytes: CRC-32C with a final mixing step.
     *
     * @param key the key
     * @return the hash, the same on every machine
     */
    public static int of(String key) {
        CRC32C crc = new CRC32C();
        crc.update(key.getBytes(StandardCharsets.UTF_8));
        int hash = (int) crc.getValue();
        hash ^= hash >>> MIX_SHIFT;
        hash *= MIX_FACTOR;
        return hash ^ (hash >>> MIX_SHIFT);
    }
}
