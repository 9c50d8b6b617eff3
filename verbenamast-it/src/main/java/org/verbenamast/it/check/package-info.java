/** Reads what backend servers recorded and callers were told, and finds contradictions. */
package org.verbenamast.it.check;
