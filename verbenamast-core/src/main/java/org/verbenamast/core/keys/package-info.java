/** Which backend server owns which keys, who may grant them, and how they move. */
package org.verbenamast.core.keys;
