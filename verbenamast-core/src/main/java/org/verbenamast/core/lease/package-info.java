/**
 * Leases of members, granted by a majority of their lease peers, and the take-over from members that no longer renew
 * their leases.
 *
 * <p>Three charts describe the protocol: {@code lease} for this node as lease holder, {@code voucher} for this node as
 * grantor, and {@code takeover} for this node as the member that ends another incarnation.
 */
package org.verbenamast.core.lease;
