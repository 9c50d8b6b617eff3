/** Checks a manifest before it is sent: contradictions, entries that can never match, and what differs from another. */
package org.verbenamast.core.manifest.check;
