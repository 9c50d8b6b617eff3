/**
 * Calls to the table service, with retries. After a lost reply, a row is read back to find out whether the transaction
 * took effect. Chart {@code store-call}.
 */
package org.verbenamast.core.store;
