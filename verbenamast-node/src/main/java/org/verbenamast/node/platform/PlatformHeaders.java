package org.verbenamast.node.platform;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;

/** The headers of the platform's table service. */
final class PlatformHeaders {

    /** Set on the reply to a transaction that took effect. */
    static final HttpHeader COMMITTED = HttpHeaders.of("Committed");

    private PlatformHeaders() {}
}
