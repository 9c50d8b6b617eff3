package org.verbenamast.core.manifest;

import java.util.Objects;

/**
 * An entry of the manifest that can't be read. The other entries are in force without it.
 *
 * @param fault what is wrong with the entry
 * @param host the host name if the entry is a route; empty if it can't be read either
 * @param prefix the prefix of the path if the entry is a route; empty if it can't be read either
 */
public record ManifestGap(String fault, String host, String prefix) {

    /** Checks that no text is missing. */
    public ManifestGap {
        Objects.requireNonNull(fault, "fault");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(prefix, "prefix");
    }

    /** Returns whether the entry is known to be a route for requests to its host and prefix. */
    boolean isRoute() {
        return !host.isEmpty() && !prefix.isEmpty();
    }
}
