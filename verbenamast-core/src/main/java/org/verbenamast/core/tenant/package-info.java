/** Tenants: whose request it is, and the caps on their requests that hold across all nodes. */
package org.verbenamast.core.tenant;
