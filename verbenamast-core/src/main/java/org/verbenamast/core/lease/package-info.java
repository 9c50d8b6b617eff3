/**
 * Leases by lease peers, and the take-over of lost members. Charts {@code lease}, {@code voucher} and {@code
 * takeover}.
 */
package org.verbenamast.core.lease;
