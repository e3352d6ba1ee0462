#include "coordination/coordinator.h"
