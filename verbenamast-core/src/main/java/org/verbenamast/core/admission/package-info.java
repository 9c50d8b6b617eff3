/** The gate in front of a backend server: the node beside it decides which requests reach it, and when. */
package org.verbenamast.core.admission;
